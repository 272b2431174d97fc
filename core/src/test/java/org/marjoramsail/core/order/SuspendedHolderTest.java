package org.marjoramsail.core.order;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.marjoramsail.core.model.DaemonId;
import org.marjoramsail.core.time.ManualClock;
import org.marjoramsail.core.time.SuspensionWatch;

/**
 * Guards against a holder whose host was suspended with its clock while another daemon acquired the
 * lease, and which then still sends orders to an engine that ignores fencing tokens.
 */
class SuspendedHolderTest {

  private static final boolean UNFENCED = false;
  private static final long STEP_MILLIS = 200;

  /** The lease in the store; no call of the store is lost. */
  private Optional<LeaseRecord> stored = Optional.empty();

  private int version;
  private final List<Long> orders = new ArrayList<>();

  private final class Daemon {
    private final ManualClock steady = new ManualClock(0);
    private final LeaseKeeper keeper;
    private final SuspensionWatch watch;

    private Daemon(String name, ManualClock wall) {
      this.keeper = new LeaseKeeper(new DaemonId(name, 1), LeaseTimes.quick(), 0);
      this.watch = new SuspensionWatch(steady, wall);
    }

    private void step() {
      steady.advance(STEP_MILLIS);
      keeper.tick(true, steady.millis()).ifPresent(this::perform);
      sendOrderIfAllowed();
    }

    private void perform(LeaseCall call) {
      String readVersion = Integer.toString(version);
      if (call instanceof LeaseCall.Write write && write.version().equals(versionText())) {
        stored = Optional.of(write.lease());
        version++;
        keeper.written(write.lease(), versionText(), steady.millis());
      } else if (call instanceof LeaseCall.Write) {
        keeper.failed(steady.millis());
      } else {
        keeper.read(stored, version == 0 ? "" : readVersion, steady.millis());
      }
    }

    private void sendOrderIfAllowed() {
      if (watch.hasSuspended()) {
        keeper.invalidate(steady.millis());
      }
      if (keeper.mayAct(UNFENCED, steady.millis())) {
        orders.add(keeper.token());
      }
    }
  }

  private String versionText() {
    return version == 0 ? "" : Integer.toString(version);
  }

  @Test
  void aHolderThatWasSuspendedSendsNoOrderAfterItsSuccessor() {
    ManualClock wall = new ManualClock(1_000_000);
    Daemon first = new Daemon("first", wall);
    Daemon second = new Daemon("second", wall);
    run(first, wall, 40);
    assertThat(orders).isNotEmpty();

    run(second, wall, 200);
    int countOfBoth = orders.size();
    first.sendOrderIfAllowed();
    assertThat(orders).hasSize(countOfBoth);
    run(first, wall, 20);

    assertThat(orders).isSorted();
    assertThat(orders).contains(1L, 2L);
  }

  /** Guards against a small clock drift that is handled as a suspension. */
  @Test
  void aHolderWhoseClocksDriftSlightlyContinuesToSendOrders() {
    ManualClock wall = new ManualClock(1_000_000);
    Daemon first = new Daemon("first", wall);
    run(first, wall, 40);
    int before = orders.size();

    wall.advance(100);
    run(first, wall, 10);

    assertThat(orders).hasSize(before + 10);
  }

  private static void run(Daemon daemon, ManualClock wall, int steps) {
    for (int step = 0; step < steps; step++) {
      wall.advance(STEP_MILLIS);
      daemon.step();
    }
  }
}
