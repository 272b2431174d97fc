package org.marjoramsail.core.membership;

import com.dynatrace.hash4j.hashing.Hashing;
import org.marjoramsail.core.model.DaemonId;

/**
 * What is believed of one host's newest run.
 *
 * @param update the belief, as others are told it
 * @param sinceMillis when its health or its departure last changed here
 */
record MemberEntry(MemberUpdate update, long sinceMillis) {

  DaemonId id() {
    return update.id();
  }

  boolean isInactive() {
    return update.health() == Health.DEAD || update.departure() == Departure.LEFT;
  }

  boolean isSuspect() {
    return update.health() == Health.SUSPECT && !isInactive();
  }

  MemberEntry withHealth(Health health, long nowMillis) {
    return new MemberEntry(update(update.version(), health, update.departure()), nowMillis);
  }

  MemberEntry withDeparture(Departure departure, long nowMillis) {
    return new MemberEntry(update(update.version(), update.health(), departure), nowMillis);
  }

  MemberEntry withVersion(int version) {
    return new MemberEntry(update(version, Health.ALIVE, update.departure()), sinceMillis);
  }

  MemberEntry withChangeTime(long nowMillis) {
    return new MemberEntry(update, nowMillis);
  }

  /**
   * Joins a belief of the same run into this one. The result does not depend on the order in which
   * beliefs are heard: a departure only advances, and health goes by version, which the run itself
   * raises, then by severity.
   *
   * <p>A death that others report is a suspicion here, so that a daemon is dropped only by those
   * that had the time to hear its refutation. Otherwise two sides of a network cut would drop their
   * own neighbours on the word of the other side as soon as they merge.
   */
  MemberEntry merge(MemberUpdate received, long nowMillis) {
    Departure departure =
        received.departure().compareTo(update.departure()) > 0
            ? received.departure()
            : update.departure();
    Health receivedHealth = received.health();
    if (receivedHealth == Health.DEAD && update.health() != Health.DEAD) {
      receivedHealth = Health.SUSPECT;
    }
    boolean newer = received.version() > update.version();
    boolean worse =
        received.version() == update.version() && receivedHealth.compareTo(update.health()) > 0;
    int version = Math.max(received.version(), update.version());
    Health health = newer || worse ? receivedHealth : update.health();
    boolean changed = health != update.health() || departure != update.departure();
    return new MemberEntry(
        update(version, health, departure), changed || newer ? nowMillis : sinceMillis);
  }

  Member member(boolean regionReachable) {
    return new Member(
        id(),
        update.address(),
        update.port(),
        update.availabilityZone(),
        update.region(),
        state(regionReachable),
        update.milliCores());
  }

  MemberState state(boolean regionReachable) {
    if (update.departure() == Departure.LEFT) {
      return MemberState.LEFT;
    }
    if (update.health() == Health.DEAD) {
      return MemberState.DEAD;
    }
    if (!regionReachable) {
      return MemberState.UNREACHABLE;
    }
    if (update.departure() == Departure.LEAVING) {
      return MemberState.LEAVING;
    }
    return update.health() == Health.SUSPECT ? MemberState.SUSPECT : MemberState.ALIVE;
  }

  /** Equal where two daemons agree; suspicions pass too soon to be compared. */
  long digest() {
    if (isInactive()) {
      return 0;
    }
    return Hashing.xxh3_64()
        .hashStream()
        .putString(update.host())
        .putLong(update.incarnation())
        .putInt(update.version())
        .putString(update.departure().name())
        .getAsLong();
  }

  private MemberUpdate update(int version, Health health, Departure departure) {
    return new MemberUpdate(
        update.host(),
        update.incarnation(),
        version,
        health,
        departure,
        update.address(),
        update.port(),
        update.availabilityZone(),
        update.region(),
        update.milliCores());
  }
}
