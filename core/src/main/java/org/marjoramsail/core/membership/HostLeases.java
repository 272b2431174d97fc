package org.marjoramsail.core.membership;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.marjoramsail.core.discovery.StoreRevision;

/**
 * Leases of all hosts in the store, from which a daemon knows the size of its fleet.
 *
 * <p>Each daemon renews the record of its host and reads the records of all hosts, both rarely. A
 * record that is not renewed stops counting when its lease expires. The reader times the lease by
 * its own clock, from its first reading of a renewal. So a daemon that has just started counts
 * every host that the store knows. A store that does not answer lets no lease end: the last known
 * hosts count until it answers again.
 *
 * <p>All times are readings of the daemon's own clock. At most one call of the store is in flight.
 * Not thread-safe.
 */
public final class HostLeases {

  /** Mean time between two renewals; a fleet of 390 writes 6.5 times a second at this rate. */
  static final long RENEWAL_MILLIS = 60_000;

  /** Time after which a record that is not renewed stops counting; more than two renewals late. */
  static final long LEASE_MILLIS = 200_000;

  /**
   * Time for which the record of a host counts that announced its end; longer than a restart, since
   * a fleet that restarts as a whole must not forget its size.
   */
  static final long LEFT_MILLIS = 30_000;

  /** Pause before the second reading of a host that is new in the store; later ones double. */
  private static final long FIRST_READ_MILLIS = 1_000;

  private static final long FIRST_RETRY_MILLIS = 250;
  private static final long LONGEST_RETRY_MILLIS = 5_000;

  /** Pauses are drawn between this part of their mean and as much above it. */
  private static final double SHORTEST_PART = 0.75;

  private record Lease(HostRecord record, long sinceMillis, boolean isOver) {

    Lease restarted(long nowMillis) {
      return isOver ? this : new Lease(record, nowMillis, false);
    }

    Lease at(long nowMillis) {
      long durationMillis = record.hasLeft() ? LEFT_MILLIS : LEASE_MILLIS;
      return new Lease(record, sinceMillis, isOver || nowMillis - sinceMillis >= durationMillis);
    }
  }

  private final String self;
  private final PeerAddress listening;
  private final RandomGenerator random;
  private final Map<String, Lease> leases = new TreeMap<>();
  private final Deque<HostRecord> abandoned = new ArrayDeque<>();
  private Optional<HostRecord> own = Optional.empty();
  private boolean callInFlight;
  private boolean isUpToDate;
  private boolean hasRead;
  private boolean hasFailed;
  private boolean isLeaving;
  private long completeFromMillis = Long.MIN_VALUE;
  private long readPauseMillis = RENEWAL_MILLIS;
  private long retryMillis = FIRST_RETRY_MILLIS;
  private long nextCallMillis;
  private long nextReadMillis;
  private long nextRenewalMillis;

  /**
   * Creates leases of which none is known yet.
   *
   * @param self name of the own host
   * @param listening the address on which this daemon listens for other daemons
   * @param random source of the pauses, so that daemons that started together do not call together
   * @param nowMillis the time from which calls are due
   */
  public HostLeases(String self, PeerAddress listening, RandomGenerator random, long nowMillis) {
    this.self = self;
    this.listening = listening;
    this.random = random;
    this.nextCallMillis = nowMillis;
    this.nextReadMillis = nowMillis;
  }

  /** Returns the next call of the store if one is due; the caller sends it immediately. */
  public Optional<HostLeaseCall> next(long nowMillis) {
    if (callInFlight || nowMillis < nextCallMillis) {
      return Optional.empty();
    }
    Optional<HostLeaseCall> due = due(nowMillis);
    callInFlight = due.isPresent();
    return due;
  }

  private Optional<HostLeaseCall> due(long nowMillis) {
    if (!isUpToDate) {
      return Optional.of(new HostLeaseCall.ReadAll());
    }
    if (isLeaving) {
      return own.filter(HostRecord::hasLeft).isPresent()
          ? Optional.empty()
          : Optional.of(renewal());
    }
    if (nowMillis >= nextRenewalMillis) {
      return Optional.of(renewal());
    }
    if (!abandoned.isEmpty()) {
      return Optional.of(new HostLeaseCall.Remove(abandoned.remove()));
    }
    return nowMillis >= nextReadMillis
        ? Optional.of(new HostLeaseCall.ReadAll())
        : Optional.empty();
  }

  private HostLeaseCall renewal() {
    return new HostLeaseCall.Renew(self, listening, isLeaving, own.map(HostRecord::revision));
  }

  /** Announces at the next call that this daemon ends. */
  public void leave() {
    isLeaving = true;
  }

  /**
   * Handles the records of all hosts.
   *
   * @param revision the state of the store in which they were read
   */
  public void read(List<HostRecord> records, StoreRevision revision, long nowMillis) {
    callInFlight = false;
    isUpToDate = true;
    if (hasFailed) {
      hasFailed = false;
      leases.replaceAll((host, lease) -> lease.restarted(nowMillis));
    }
    removeMissing(records, revision, nowMillis);
    records.forEach(record -> observe(record, nowMillis));
    own = records.stream().filter(record -> record.host().equals(self)).findFirst();
    leases.replaceAll((host, lease) -> lease.at(nowMillis));
    scheduleRemovals();
    scheduleRenewal(nowMillis);
    hasRead = true;
    nextReadMillis = nowMillis + drawn(readPauseMillis);
    readPauseMillis = Math.min(RENEWAL_MILLIS, 2 * readPauseMillis);
  }

  /**
   * Removes the leases that have no record any more. A store that was restored from a backup lacks
   * records that their hosts will write again; those count for the rest of their leases.
   */
  private void removeMissing(List<HostRecord> records, StoreRevision revision, long nowMillis) {
    Set<String> present = records.stream().map(HostRecord::host).collect(Collectors.toSet());
    leases
        .values()
        .removeIf(
            lease ->
                !present.contains(lease.record().host())
                    && (lease.record().revision().epoch() == revision.epoch()
                        || lease.at(nowMillis).isOver()));
  }

  private void observe(HostRecord record, long nowMillis) {
    Lease known = leases.get(record.host());
    if (known == null || !known.record().equals(record)) {
      leases.put(record.host(), new Lease(record, nowMillis, false));
    }
  }

  /** Leaves the removal of abandoned records to the first host, so that only one calls for it. */
  private void scheduleRemovals() {
    abandoned.clear();
    Optional<String> first =
        counted().stream().filter(one -> !one.hasLeft()).map(HostRecord::host).findFirst();
    if (first.filter(self::equals).isPresent()) {
      leases.values().stream().filter(Lease::isOver).map(Lease::record).forEach(abandoned::add);
    }
  }

  private void scheduleRenewal(long nowMillis) {
    if (own.isEmpty() && !hasRead) {
      // Hosts that are new at the same time are not in the store yet.
      completeFromMillis = nowMillis + LEASE_MILLIS;
      readPauseMillis = FIRST_READ_MILLIS;
    }
    boolean isCurrent =
        own.filter(record -> !record.hasLeft() && record.listening().equals(listening)).isPresent();
    if (!isCurrent) {
      nextRenewalMillis = nowMillis;
    } else if (!hasRead) {
      nextRenewalMillis = nowMillis + random.nextLong(RENEWAL_MILLIS);
    }
  }

  /** Handles a successful renewal, which has left the store at a revision. */
  public void renewed(HostLeaseCall.Renew call, StoreRevision revision, long nowMillis) {
    callInFlight = false;
    // A store that may only be read answers all other calls.
    retryMillis = FIRST_RETRY_MILLIS;
    HostRecord record = new HostRecord(self, listening, call.hasLeft(), revision);
    own = Optional.of(record);
    leases.put(self, new Lease(record, nowMillis, false));
    nextRenewalMillis = nowMillis + drawn(RENEWAL_MILLIS);
    if (call.replaced().isEmpty()) {
      // Of two hosts that create their records at the same time, the later one sees the other.
      nextReadMillis = nowMillis;
    }
  }

  /** Handles the removal of an abandoned record. */
  public void removed(HostLeaseCall.Remove call) {
    callInFlight = false;
    leases.remove(call.record().host());
  }

  /**
   * Handles a removal that failed. It is requested again after the next reading, and says nothing
   * about the renewals of other hosts.
   */
  public void notRemoved() {
    callInFlight = false;
    abandoned.clear();
  }

  /** Handles a call that the store refused because a record was changed; all are read again. */
  public void rejected(long nowMillis) {
    readAgain(nowMillis);
  }

  /** Handles a call that failed or whose response was lost. */
  public void failed(long nowMillis) {
    hasFailed = true;
    readAgain(nowMillis);
  }

  private void readAgain(long nowMillis) {
    callInFlight = false;
    isUpToDate = false;
    nextCallMillis = nowMillis + drawn(retryMillis);
    retryMillis = Math.min(LONGEST_RETRY_MILLIS, 2 * retryMillis);
  }

  /** Returns the addresses of the hosts whose leases are not over; empty before the first read. */
  public List<PeerAddress> addresses() {
    return counted().stream().map(HostRecord::listening).toList();
  }

  /**
   * Returns whether every running host of the fleet has had the time to write its record. Until
   * then the addresses are used in addition to the seeds and the known members.
   */
  public boolean isComplete(long nowMillis) {
    return hasRead && nowMillis >= completeFromMillis;
  }

  private List<HostRecord> counted() {
    return leases.values().stream().filter(lease -> !lease.isOver()).map(Lease::record).toList();
  }

  private long drawn(long meanMillis) {
    double part = SHORTEST_PART + 2 * (1 - SHORTEST_PART) * random.nextDouble();
    return Math.max(1, Math.round(meanMillis * part));
  }
}
