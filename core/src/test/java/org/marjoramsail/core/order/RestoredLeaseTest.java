package org.marjoramsail.core.order;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.marjoramsail.core.model.DaemonId;

/**
 * The store came back from a copy made before a host took the lease. Another host read there that
 * nobody has it and took it at once, under the fencing token that the first one acted with.
 */
class RestoredLeaseTest {

  private static final LeaseTimes TIMES = LeaseTimes.quick();
  private static final long STEP_MILLIS = 100;

  private final LeaseKeeper first = new LeaseKeeper(new DaemonId("host-1", 1), TIMES, 0);
  private final LeaseKeeper second = new LeaseKeeper(new DaemonId("host-2", 1), TIMES, 0);
  private Optional<LeaseRecord> stored = Optional.empty();
  private long version;
  private long now;

  @BeforeEach
  void observeTheFirstEpoch() {
    first.observeEpoch(1, now);
    second.observeEpoch(1, now);
  }

  @Test
  void aHolderStopsOnceItObservesThatTheStoreWasRestored() {
    acquireLease(first);

    restore(Optional.empty());
    first.observeEpoch(2, now);

    assertThat(first.mayAct(true, now)).isFalse();
  }

  @Test
  void noTokenIsUsedByTwoHoldersAndTokensIncrease() {
    acquireLease(first);
    long tokenBefore = first.token();

    restore(Optional.empty());
    second.observeEpoch(2, now);
    acquireLease(second);

    assertThat(second.token()).isGreaterThan(tokenBefore);
  }

  /** The holder is cut off, and cannot hear that what it renewed is gone. */
  @Test
  void aSuccessorWaitsUntilTheLeaseOfTheEarlierEpochHasExpired() {
    acquireLease(first);

    restore(Optional.empty());
    second.observeEpoch(2, now);
    acquireLease(second);

    assertThat(first.mayAct(true, now)).isFalse();
  }

  /** Its own name stands in the copy, but others may have held the lease since. */
  @Test
  void aHolderRecordedInTheBackupAcquiresTheLeaseAgain() {
    acquireLease(first);
    Optional<LeaseRecord> backup = stored;
    long tokenBefore = first.token();

    restore(backup);
    first.observeEpoch(2, now);
    acquireLease(first);

    assertThat(first.token()).isGreaterThan(tokenBefore);
  }

  private void acquireLease(LeaseKeeper keeper) {
    long deadline = now + 3 * TIMES.durationMillis();
    while (!keeper.mayAct(true, now) && now < deadline) {
      now += STEP_MILLIS;
      keeper.tick(true, now).ifPresent(call -> performCall(keeper, call));
    }
    assertThat(keeper.mayAct(true, now)).isTrue();
  }

  private void performCall(LeaseKeeper keeper, LeaseCall call) {
    if (call instanceof LeaseCall.Write write) {
      if (!write.version().equals(stored.isEmpty() ? "" : Long.toString(version))) {
        keeper.failed(now);
        return;
      }
      stored = Optional.of(write.lease());
      version++;
      keeper.written(write.lease(), Long.toString(version), now);
    } else {
      keeper.read(stored, stored.isEmpty() ? "" : Long.toString(version), now);
    }
  }

  private void restore(Optional<LeaseRecord> backup) {
    stored = backup;
    version = backup.isEmpty() ? 0 : 1;
  }
}
