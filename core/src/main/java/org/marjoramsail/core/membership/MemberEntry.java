package org.marjoramsail.core.membership;

import com.dynatrace.hash4j.hashing.Hashing;
import org.marjoramsail.core.model.DaemonId;

/**
 * Entry of the membership table: the observed state of the newest incarnation on a host.
 *
 * @param update the state, as it is sent to other daemons
 * @param sinceMillis local time of the last change of its health, departure or version
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
   * Merges an update of the same incarnation into this entry. The result does not depend on the
   * order of updates: a departure only advances, and health is ordered by version, which only the
   * incarnation itself increases, then by severity.
   *
   * <p>A reported death is treated as a suspicion, so that a daemon is declared dead only after it
   * had time to refute that. Otherwise, two sides of a network partition would declare their own
   * neighbours dead, based on updates from the other side, as soon as they merge.
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

  /**
   * Returns a hash that is equal on daemons with the same state of this entry. It excludes
   * suspicions, which are too short-lived to be compared.
   */
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
