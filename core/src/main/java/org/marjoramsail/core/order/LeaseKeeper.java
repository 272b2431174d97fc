package org.marjoramsail.core.order;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.marjoramsail.core.model.DaemonId;

/**
 * Acquires and renews one lease for one daemon, and limits how long the daemon acts under it.
 *
 * <p>All times are readings of the daemon's own clock, in milliseconds. At most one call of the
 * store is in flight. Not thread-safe; callers hold a lock.
 */
public final class LeaseKeeper {

  /** Time that other daemons wait before they acquire a lease that is not renewed. */
  public static final long DURATION_MILLIS = 60_000;

  /**
   * How long the holder acts after the start of a renewal; shorter than the lease, so that the
   * rates of clocks may differ by a tenth.
   */
  public static final long ACTING_MILLIS = 48_000;

  /** Maximum time from the sending of an order until the engine has accepted it. */
  public static final long MAXIMUM_IN_FLIGHT_MILLIS = 5_000;

  private static final int MAXIMUM_TRACKED_RENEWALS = 16;

  /** Tokens reserved for each epoch; far more than changes of holder between two restores. */
  private static final long TOKENS_PER_EPOCH = 1_000_000;

  /** The epoch of a store that was never restored from a backup, so that no write is lost. */
  private static final long FIRST_EPOCH = 1;

  private final DaemonId self;
  private final LeaseTimes times;
  private final Map<String, Long> renewalStartMillis = new LinkedHashMap<>();

  private Optional<LeaseRecord> observedLease = Optional.empty();
  private String observedVersion = "";
  private long observedSinceMillis;
  private boolean upToDate;
  private boolean callInFlight;
  private long renewals;
  private long nextCallMillis;
  private long actingUntilMillis = Long.MIN_VALUE;
  private long heldToken;
  private long heldSinceMillis;
  private long epoch;

  /** Creates a keeper with the standard times that does not hold the lease. */
  public LeaseKeeper(DaemonId self, long nowMillis) {
    this(self, LeaseTimes.standard(), nowMillis);
  }

  /** Creates a keeper with the given times that does not hold the lease. */
  public LeaseKeeper(DaemonId self, LeaseTimes times, long nowMillis) {
    this.self = self;
    this.times = times;
    this.nextCallMillis = nowMillis;
  }

  /**
   * Returns the next call of the store if one is due; the caller sends it immediately.
   *
   * @param candidate whether this daemon should acquire the lease when it is free
   */
  public Optional<LeaseCall> tick(boolean candidate, long nowMillis) {
    if (callInFlight || nowMillis < nextCallMillis || !(candidate || isHeldBySelf())) {
      return Optional.empty();
    }
    callInFlight = true;
    nextCallMillis = nowMillis + times.renewalMillis();
    if (upToDate && (isHeldBySelf() || isFree(nowMillis))) {
      return Optional.of(write(nowMillis));
    }
    return Optional.of(new LeaseCall.Read());
  }

  /** Handles the result of a read; {@code lease} is empty if the store has none. */
  public void read(Optional<LeaseRecord> lease, String version, long nowMillis) {
    callInFlight = false;
    observe(lease, version, nowMillis);
    if (isHeldBySelf() || isFree(nowMillis)) {
      nextCallMillis = Math.min(nextCallMillis, nowMillis);
    }
    if (isHeldBySelf()) {
      applyOwnLease(lease.orElseThrow(), nowMillis);
    }
  }

  /** Handles a successful write. */
  public void written(LeaseRecord lease, String version, long nowMillis) {
    callInFlight = false;
    observe(Optional.of(lease), version, nowMillis);
    if (isHeldBySelf()) {
      applyOwnLease(lease, nowMillis);
    }
  }

  /** Handles a call that failed or whose response was lost; the lease has to be read again. */
  public void failed(long nowMillis) {
    // The renewal may have succeeded although its response was lost, so neither success nor failure
    // is assumed: the lease is read again, and the start of the renewal found there counts.
    callInFlight = false;
    upToDate = false;
    nextCallMillis = nowMillis + times.retryMillis();
  }

  /** Releases the lease immediately; nothing may be sent under it from now on. */
  public Optional<LeaseCall> release() {
    actingUntilMillis = Long.MIN_VALUE;
    if (callInFlight || !upToDate || !isHeldBySelf()) {
      return Optional.empty();
    }
    callInFlight = true;
    LeaseRecord ownLease = observedLease.orElseThrow();
    String renewal = self + "/released";
    return Optional.of(
        new LeaseCall.Write(
            new LeaseRecord(Optional.empty(), ownLease.token(), renewal), observedVersion));
  }

  /**
   * Returns whether an order may be sent now; callers check this immediately before each send.
   *
   * @param fenced whether the engine rejects older fencing tokens
   */
  public boolean mayAct(boolean fenced, long nowMillis) {
    if (nowMillis >= actingUntilMillis) {
      return false;
    }
    // Guards against an engine that ignores tokens and executes a late order of the former holder
    // after one of this holder. The former holder sends nothing after its lease has ended, and its
    // earlier orders have arrived after the maximum time in flight.
    return fenced || nowMillis - heldSinceMillis >= MAXIMUM_IN_FLIGHT_MILLIS;
  }

  /**
   * Stops acting under the lease, since the host may have been suspended and the lease may have
   * expired. The daemon acts again only after a renewal that starts from now on is in the store.
   */
  public void invalidate(long nowMillis) {
    actingUntilMillis = Long.MIN_VALUE;
    renewalStartMillis.clear();
    heldSinceMillis = nowMillis;
    upToDate = false;
    nextCallMillis = nowMillis;
  }

  /**
   * Records the epoch of the store, which increases when the store is restored from a backup.
   *
   * <p>Guards against two holders with the same fencing token after a restore from a backup that
   * was made before the present holder acquired the lease. The holder of a lease of an earlier
   * epoch stops, all others wait until that lease has expired, and the tokens of an epoch are
   * greater than all earlier ones.
   */
  public void observeEpoch(long newest, long nowMillis) {
    if (newest == epoch) {
      return;
    }
    boolean isRestored = epoch != 0;
    epoch = newest;
    if (isRestored) {
      invalidate(nowMillis);
      observedLease = Optional.empty();
      observedVersion = "";
      observedSinceMillis = nowMillis;
    }
  }

  /** Returns the fencing token of the lease that this daemon holds or last held. */
  public long token() {
    return heldToken;
  }

  /** Returns whether this daemon holds the lease. */
  public boolean isHeld(long nowMillis) {
    return nowMillis < actingUntilMillis;
  }

  private LeaseCall write(long nowMillis) {
    renewals++;
    long token = observedLease.map(LeaseRecord::token).orElse(0L);
    String renewal = self + "/" + renewals;
    renewalStartMillis.put(renewal, nowMillis);
    if (renewalStartMillis.size() > MAXIMUM_TRACKED_RENEWALS) {
      renewalStartMillis.remove(renewalStartMillis.keySet().iterator().next());
    }
    long nextToken = isHeldBySelf() ? token : Math.max(token, epoch * TOKENS_PER_EPOCH) + 1;
    return new LeaseCall.Write(
        new LeaseRecord(Optional.of(self.toString()), nextToken, renewal), observedVersion);
  }

  private void observe(Optional<LeaseRecord> lease, String version, long nowMillis) {
    // The time restarts with each version: counted per holder, it would take the lease from a
    // holder whose renewals succeed.
    if (!version.equals(observedVersion)) {
      observedSinceMillis = nowMillis;
    }
    observedLease = lease;
    observedVersion = version;
    upToDate = true;
  }

  private void applyOwnLease(LeaseRecord lease, long nowMillis) {
    Optional<Long> sentMillis = Optional.ofNullable(renewalStartMillis.get(lease.renewal()));
    if (lease.token() != heldToken) {
      heldToken = lease.token();
      heldSinceMillis = nowMillis;
    }
    sentMillis.ifPresent(
        startMillis ->
            actingUntilMillis = Math.max(actingUntilMillis, startMillis + times.actingMillis()));
  }

  private boolean isHeldBySelf() {
    return !isOfEarlierEpoch()
        && observedLease.flatMap(LeaseRecord::holder).filter(self.toString()::equals).isPresent();
  }

  /** Returns whether other daemons may have held the lease after the observed write. */
  private boolean isOfEarlierEpoch() {
    return epoch > FIRST_EPOCH
        && observedLease.map(LeaseRecord::token).orElse(0L) <= epoch * TOKENS_PER_EPOCH;
  }

  private boolean isFree(long nowMillis) {
    boolean held = observedLease.flatMap(LeaseRecord::holder).isPresent();
    return (!held && !isOfEarlierEpoch())
        || nowMillis - observedSinceMillis >= times.durationMillis();
  }
}
