package org.marjoramsail.core.order;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.marjoramsail.core.model.DaemonId;

/**
 * Guards against two holders with the same fencing token after the store was restored from a backup
 * that was made before the present holder acquired the lease.
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

  /** The holder is disconnected and does not observe that the restore has removed its lease. */
  @Test
  void aSuccessorWaitsUntilTheLeaseOfTheEarlierEpochHasExpired() {
    acquireLease(first);

    restore(Optional.empty());
    second.observeEpoch(2, now);
    acquireLease(second);

    assertThat(first.mayAct(true, now)).isFalse();
  }

  /** The backup names the holder, but others may have held the lease after the backup. */
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
