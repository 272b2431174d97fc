package org.marjoramsail.core.membership;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Predicate;
import org.marjoramsail.core.model.DaemonId;

/** Membership table of one daemon, by host, with an incrementally updated digest. */
final class MemberTable {

  static final int BUCKETS = 64;

  private final String self;
  private final TreeMap<String, MemberEntry> entries = new TreeMap<>();
  private final Set<String> suspects = new LinkedHashSet<>();
  private final Map<String, List<String>> reachableByRegion = new HashMap<>();
  private final long[] buckets = new long[BUCKETS];
  private boolean listsStale = true;
  private int activeCount;

  MemberTable(MemberUpdate self, long nowMillis) {
    this.self = self.host();
    put(new MemberEntry(self, nowMillis));
  }

  MemberEntry self() {
    return entries.get(self);
  }

  Optional<MemberEntry> find(String host) {
    return Optional.ofNullable(entries.get(host));
  }

  /** Returns the entry of exactly this incarnation. */
  Optional<MemberEntry> find(DaemonId daemon) {
    return find(daemon.host()).filter(entry -> entry.id().equals(daemon));
  }

  void put(MemberEntry entry) {
    String host = entry.update().host();
    MemberEntry previous = entries.put(host, entry);
    int bucket = bucket(host);
    buckets[bucket] ^= entry.digest();
    if (previous != null) {
      buckets[bucket] ^= previous.digest();
    }
    activeCount +=
        (entry.isInactive() ? 0 : 1) - (previous == null || previous.isInactive() ? 0 : 1);
    listsStale |= previous == null || previous.isInactive() != entry.isInactive();
    listsStale |= previous != null && !previous.update().region().equals(entry.update().region());
    if (entry.isSuspect()) {
      suspects.add(host);
    } else {
      suspects.remove(host);
    }
  }

  /** Returns the number of daemons that are neither dead nor left, including this one. */
  int activeCount() {
    return activeCount;
  }

  boolean hasSuspects() {
    return !suspects.isEmpty();
  }

  List<MemberEntry> suspects() {
    return suspects.stream().map(entries::get).toList();
  }

  /** Returns the hosts of other daemons of a region that are neither dead nor left. */
  List<String> reachableIn(String region) {
    refreshLists();
    return reachableByRegion.getOrDefault(region, List.of());
  }

  /** Returns the other regions with daemons that are neither dead nor left. */
  Set<String> otherRegions() {
    refreshLists();
    Set<String> regions = new TreeSet<>(reachableByRegion.keySet());
    regions.remove(self().update().region());
    return regions;
  }

  List<Long> digest() {
    List<Long> digest = new ArrayList<>(BUCKETS);
    for (long bucket : buckets) {
      digest.add(bucket);
    }
    return digest;
  }

  /** Returns the buckets in which a digest differs; all if it has another number of buckets. */
  List<Integer> differing(List<Long> other) {
    List<Integer> differing = new ArrayList<>();
    for (int bucket = 0; bucket < BUCKETS; bucket++) {
      if (other.size() != BUCKETS || other.get(bucket) != buckets[bucket]) {
        differing.add(bucket);
      }
    }
    return differing;
  }

  List<MemberUpdate> inBuckets(List<Integer> requested) {
    Set<Integer> bucketSet = Set.copyOf(requested);
    return entries.values().stream()
        .map(MemberEntry::update)
        .filter(update -> bucketSet.contains(bucket(update.host())))
        .toList();
  }

  /** Removes daemons that were dead or left before a time; returns whether there were any. */
  boolean removeInactiveBefore(long millis) {
    return entries
        .values()
        .removeIf(
            entry ->
                entry.isInactive()
                    && entry.sinceMillis() < millis
                    && !entry.update().host().equals(self));
  }

  List<MemberEntry> inactive() {
    return entries.values().stream().filter(MemberEntry::isInactive).toList();
  }

  /** Returns the addresses of daemons that are neither dead nor left. */
  Set<PeerAddress> activeAddresses() {
    Set<PeerAddress> addresses = new LinkedHashSet<>();
    for (MemberEntry entry : entries.values()) {
      if (!entry.isInactive()) {
        addresses.add(entry.update().listening());
      }
    }
    return addresses;
  }

  /** Returns the addresses of all daemons in the table. */
  private Set<PeerAddress> addresses() {
    Set<PeerAddress> addresses = new HashSet<>();
    entries.values().forEach(entry -> addresses.add(entry.update().listening()));
    return addresses;
  }

  /** Returns the number of addresses in a list of which no daemon is in the table. */
  int unknownAmong(List<PeerAddress> listed) {
    Set<PeerAddress> unknown = new HashSet<>(listed);
    unknown.removeAll(addresses());
    return unknown.size();
  }

  /** Returns the number of dead daemons whose addresses are not in a list. */
  int deadNotAmong(List<PeerAddress> listed) {
    Set<PeerAddress> known = Set.copyOf(listed);
    return (int)
        entries.values().stream()
            .filter(entry -> entry.update().health() == Health.DEAD)
            .filter(entry -> !known.contains(entry.update().listening()))
            .count();
  }

  /** Returns whether more than half of some addresses belong to active members. */
  boolean reachesMostOf(List<PeerAddress> listed) {
    Set<PeerAddress> distinct = new HashSet<>(listed);
    Set<PeerAddress> reached = activeAddresses();
    reached.retainAll(distinct);
    return distinct.isEmpty() || 2 * reached.size() > distinct.size();
  }

  MembershipView view(
      Predicate<String> regionReachable, int unknownHosts, int removedHosts, boolean isFleetKnown) {
    List<Member> members =
        entries.values().stream()
            .map(entry -> entry.member(regionReachable.test(entry.update().region())))
            .toList();
    return new MembershipView(
        self().member(true), members, unknownHosts, removedHosts, isFleetKnown);
  }

  private void refreshLists() {
    if (!listsStale) {
      return;
    }
    listsStale = false;
    reachableByRegion.clear();
    for (MemberEntry entry : entries.values()) {
      if (!entry.isInactive() && !entry.update().host().equals(self)) {
        reachableByRegion
            .computeIfAbsent(entry.update().region(), region -> new ArrayList<>())
            .add(entry.update().host());
      }
    }
  }

  private static int bucket(String host) {
    return (int) Long.remainderUnsigned(Hashing.xxh3_64().hashCharsToLong(host), BUCKETS);
  }
}
