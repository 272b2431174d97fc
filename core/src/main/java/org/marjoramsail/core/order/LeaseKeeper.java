package org.marjoramsail.core.order;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.marjoramsail.core.model.DaemonId;

/**
 * One daemon's part in one lease: takes it, renews it, and knows how long it may act under it.
 *
 * <p>All times are readings of this daemon's own clock, in milliseconds. One call of the store is
 * under way at a time. Called under a lock of its owner.
 */
public final class LeaseKeeper {

  /** How long a lease that is not renewed is waited out by others. */
  public static final long DURATION_MILLIS = 60_000;

  /**
   * How long the holder acts after it began a renewal; shorter than the lease, so that clocks may
   * differ by a tenth in their rates.
   */
  public static final long ACTING_MILLIS = 48_000;

  /** How long an order can be under way from its send until the engine has taken it. */
  public static final long MAXIMUM_IN_FLIGHT_MILLIS = 5_000;

  private static final int MAXIMUM_TRACKED_RENEWALS = 16;

  /** Tokens of one epoch of the store; far more than changes of holder between two restores. */
  private static final long TOKENS_PER_EPOCH = 1_000_000;

  /** In its first epoch the store has not come back from a copy, so that nothing of it is gone. */
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

  /** Begins without the lease. */
  public LeaseKeeper(DaemonId self, long nowMillis) {
    this(self, LeaseTimes.standard(), nowMillis);
  }

  /** Begins without a lease that has times of its own. */
  public LeaseKeeper(DaemonId self, LeaseTimes times, long nowMillis) {
    this.self = self;
    this.times = times;
    this.nextCallMillis = nowMillis;
  }

  /**
   * The next call of the store, if one is due; the caller sends it at once.
   *
   * @param candidate whether this daemon should take the lease when it is free
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

  /** The lease was read; an absent one was never held. */
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

  /** The lease was written. */
  public void written(LeaseRecord lease, String version, long nowMillis) {
    callInFlight = false;
    observe(Optional.of(lease), version, nowMillis);
    if (isHeldBySelf()) {
      applyOwnLease(lease, nowMillis);
    }
  }

  /** A call failed, or its answer is lost: what the store holds has to be read. */
  public void failed(long nowMillis) {
    // Failure: the answer to a renewal is lost. Counting on it would let this daemon act on a lease
    // that it no longer has; giving up would leave the engines alone for a whole lease. The lease
    // is
    // read back, and the time of the renewal that is found counts.
    callInFlight = false;
    upToDate = false;
    nextCallMillis = nowMillis + times.retryMillis();
  }

  /** Gives the lease back at once; nothing may be sent under it from now on. */
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
   * Whether an order may be sent now; to be asked just before each send.
   *
   * @param fenced whether the engine refuses old tokens
   */
  public boolean mayAct(boolean fenced, long nowMillis) {
    if (nowMillis >= actingUntilMillis) {
      return false;
    }
    // Failure: the former holder sent an order in its last moment, and the engine takes it after an
    // order of this one, since it ignores tokens. The former holder sends nothing after its lease,
    // and what it sent before has arrived once the longest time under way is over.
    return fenced || nowMillis - heldSinceMillis >= MAXIMUM_IN_FLIGHT_MILLIS;
  }

  /**
   * Records that this daemon may have stood still without noticing, so that its lease may be over.
   * It acts again only once a renewal that begins from now on is seen in the store.
   */
  public void invalidate(long nowMillis) {
    actingUntilMillis = Long.MIN_VALUE;
    renewalStartMillis.clear();
    heldSinceMillis = nowMillis;
    upToDate = false;
    nextCallMillis = nowMillis;
  }

  /**
   * Records the epoch of the store, which rises when it comes back from a copy.
   *
   * <p>Guards against two holders with one fencing token: the copy was made before a host took the
   * lease, and the next one to read it would take it at once, under the same token. So a lease of
   * an earlier epoch is void at its holder, is waited out by all others, and each token of an epoch
   * is above all of those before it.
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

  /** The fencing token of the lease that this daemon holds or last held. */
  public long token() {
    return heldToken;
  }

  /** Whether this daemon holds the lease now. */
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
    // Failure: a holder is alive and its renewals succeed. Counting from the first sight of the
    // holder rather than of this version would take the lease from it.
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

  /** Whether others may have held the lease since what is seen of it was written. */
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
