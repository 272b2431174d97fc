package org.marjoramsail.daemon.order;

import static org.assertj.core.api.Assertions.assertThat;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.marjoramsail.core.configuration.Configuration;
import org.marjoramsail.core.membership.Member;
import org.marjoramsail.core.membership.MemberState;
import org.marjoramsail.core.membership.MembershipView;
import org.marjoramsail.core.model.DaemonId;
import org.marjoramsail.core.order.LeaseKeeper;
import org.marjoramsail.core.time.ManualClock;
import org.marjoramsail.daemon.configuration.FakeStore;
import org.marjoramsail.daemon.configuration.FakeStore.Fault;
import org.marjoramsail.daemon.configuration.FakeTimers;
import org.marjoramsail.daemon.configuration.Samples;

final class OrderServiceTest {

  private static final long MINUTE_MILLIS = 60_000;

  private final ManualClock clock = new ManualClock(0);
  private final FakeTimers timers = new FakeTimers(clock);
  private final FakeStore store = new FakeStore();
  private final FakeEngines engines = new FakeEngines(clock::millis);
  private final Configuration configuration = Samples.configuration(40, 0);
  private final List<Member> members = new ArrayList<>();

  private OrderService daemon(int number) {
    Member self =
        new Member(new DaemonId("entry-" + number, 1), "127.0.0.1", 1, "a", "r", MemberState.ALIVE);
    members.add(self);
    return new OrderService(
        store,
        engines,
        () -> configuration,
        () -> new MembershipView(self, members),
        clock,
        timers,
        new SimpleMeterRegistry());
  }

  private boolean allEnginesAreInTheDesiredState() {
    return configuration.upstreams().stream()
        .map(engines::state)
        .allMatch(state -> state.version().equals("v1") && !state.leaving());
  }

  @Test
  void aNewVersionIsRolledOutAndStatusWritesAreRateLimited() {
    daemon(0).start();
    timers.advance(20 * MINUTE_MILLIS);

    assertThat(allEnginesAreInTheDesiredState()).isTrue();
    String status = store.find(StatusObjects.KIND, "lector").orElseThrow().spec().toString();
    assertThat(status).contains("\"phase\":\"DONE\"");
    long writes =
        store.written().stream().filter(object -> object.kind().equals(StatusObjects.KIND)).count();
    assertThat(writes).isLessThan(20 * 60 / 5);
  }

  @Test
  void aStoreOutageStopsOrdersWhenTheLeaseExpiresAndTheRolloutContinuesAfterTheOutage() {
    // Guards against two daemons that send contradictory orders: a holder that cannot renew its
    // lease must stop before another daemon can acquire it.
    daemon(0).start();
    timers.advance(30_000);
    assertThat(engines.accepted).isNotEmpty();

    store.faults(call -> Fault.UNAVAILABLE);
    long outageMillis = clock.millis();
    timers.advance(10 * MINUTE_MILLIS);
    long last = engines.accepted.get(engines.accepted.size() - 1).atMillis();
    assertThat(last).isLessThanOrEqualTo(outageMillis + LeaseKeeper.ACTING_MILLIS);
    assertThat(allEnginesAreInTheDesiredState()).isFalse();

    store.faults(call -> Fault.NONE);
    timers.advance(20 * MINUTE_MILLIS);
    assertThat(allEnginesAreInTheDesiredState()).isTrue();
  }

  @Test
  void anotherDaemonContinuesTheRolloutWithAGreaterTokenWhenTheHolderStops() {
    OrderService first = daemon(0);
    OrderService second = daemon(1);
    first.start();
    timers.advance(40_000);
    long firstToken = engines.accepted.get(engines.accepted.size() - 1).token();

    first.stop();
    second.start();
    timers.advance(20 * MINUTE_MILLIS);

    assertThat(allEnginesAreInTheDesiredState()).isTrue();
    assertThat(engines.accepted.get(engines.accepted.size() - 1).token()).isGreaterThan(firstToken);
    assertThat(engines.accepted).extracting(FakeEngines.AcceptedOrder::token).isSorted();
  }

  @Test
  void sevenIdleDaemonsCallTheStoreRarely() {
    List<OrderService> services = new ArrayList<>();
    for (int number = 0; number < 7; number++) {
      services.add(daemon(number));
    }
    services.forEach(OrderService::start);
    timers.advance(20 * MINUTE_MILLIS);
    int before = store.calls().size();
    timers.advance(10 * MINUTE_MILLIS);

    assertThat((store.calls().size() - before) / (7.0 * 600)).isLessThan(0.1);
    assertThat(services.stream().mapToInt(service -> service.heldLeases().size()).sum())
        .isEqualTo(4);
  }
}
