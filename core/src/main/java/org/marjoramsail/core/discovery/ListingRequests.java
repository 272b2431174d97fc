package org.marjoramsail.core.discovery;

import java.util.ArrayList;
import java.util.Collections;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.marjoramsail.core.model.DaemonId;

/**
 * Decides from which daemons this one requests what it cannot read itself.
 *
 * <p>A daemon without routes or upstreams whose own reads fail requests both from two others at a
 * time. A daemon that is told of a newer version of the routes requests them from one that has it,
 * unless its own read brings them first. Every daemon asks few others, so that those that answer
 * can go on reading themselves, also if many start together. Not safe for several threads.
 */
public final class ListingRequests {

  /**
   * A request to send.
   *
   * @param number identifies the request in its response
   */
  public record Request(DaemonId to, long number, Set<ListingSection> sections) {}

  /** Why something is requested. */
  public enum Need {
    /** Routes or upstreams are missing, and the lists cannot be read. */
    LISTS,
    /** Everything was read; another daemon may have a newer version. */
    NEWER_ROUTES,
    /** As before, but the routes cannot be read at present. */
    NEWER_ROUTES_UNREADABLE
  }

  /** Time for the own read of a version that another daemon has, in milliseconds. */
  static final long OWN_READ_MILLIS = 400;

  /** Time without a piece of a response after which another daemon is asked, in milliseconds. */
  static final long SILENCE_MILLIS = 1_000;

  /** Time after which a daemon that declined or did not respond is asked again, in milliseconds. */
  static final long RETRY_MILLIS = 2_000;

  /** Time after which a daemon that no longer tells of a version counts as without it. */
  static final long FORGET_MILLIS = 10_000;

  private static final int MAXIMUM_OPEN_FOR_LISTS = 2;
  private static final int MAXIMUM_HOLDERS = 1_024;

  private record Open(DaemonId to, long progressAtMillis) {}

  private record Holding(long version, long toldAtMillis) {}

  private final RandomGenerator random;
  private final Map<Long, Open> open = new HashMap<>();
  private final Map<DaemonId, Holding> holders = new HashMap<>();
  private final Map<DaemonId, Long> failedAtMillis = new HashMap<>();
  private OptionalLong newerSinceMillis = OptionalLong.empty();
  private long lastNumber;

  /** Creates an instance without requests. */
  public ListingRequests(RandomGenerator random) {
    this.random = random;
  }

  /** Handles the version that another daemon has told. */
  public void told(DaemonId from, long version, long ownVersion, long nowMillis) {
    if (version <= ownVersion) {
      holders.remove(from);
    } else if (holders.size() < MAXIMUM_HOLDERS || holders.containsKey(from)) {
      holders.put(from, new Holding(version, nowMillis));
    }
    updateNewerSince(ownVersion, nowMillis);
  }

  /** Returns whether another daemon has a newer version of the routes. */
  public boolean isNewerKnown(long ownVersion, long nowMillis) {
    updateNewerSince(ownVersion, nowMillis);
    return newerSinceMillis.isPresent();
  }

  /**
   * Returns the requests to send now; to be called several times a second.
   *
   * @param reachable the other daemons that are reachable
   */
  public List<Request> due(Need need, long ownVersion, List<DaemonId> reachable, long nowMillis) {
    dropSilent(nowMillis);
    updateNewerSince(ownVersion, nowMillis);
    if (need == Need.LISTS) {
      return choose(
          reachable, MAXIMUM_OPEN_FOR_LISTS, EnumSet.allOf(ListingSection.class), nowMillis);
    }
    long patienceMillis = need == Need.NEWER_ROUTES ? OWN_READ_MILLIS : 0;
    boolean isDue =
        newerSinceMillis.isPresent() && nowMillis - newerSinceMillis.getAsLong() >= patienceMillis;
    return isDue
        ? choose(newestHolders(reachable), 1, EnumSet.of(ListingSection.ROUTES), nowMillis)
        : List.of();
  }

  /** Returns whether a daemon may answer a request; records that its response makes progress. */
  public boolean progress(DaemonId from, long number, long nowMillis) {
    boolean isExpected =
        Optional.ofNullable(open.get(number)).filter(one -> one.to().equals(from)).isPresent();
    if (isExpected) {
      open.put(number, new Open(from, nowMillis));
    }
    return isExpected;
  }

  /** Records that a request was answered in whole. */
  public void answered(long number) {
    open.remove(number);
  }

  /** Records that a request was declined, or that its response cannot be used. */
  public void failed(long number, long nowMillis) {
    Optional.ofNullable(open.remove(number))
        .ifPresent(one -> failedAtMillis.put(one.to(), nowMillis));
  }

  /** Returns the numbers of the requests that have no whole response yet. */
  public Set<Long> open() {
    return Set.copyOf(open.keySet());
  }

  private List<Request> choose(
      List<DaemonId> candidates, int maximumOpen, Set<ListingSection> sections, long nowMillis) {
    Set<DaemonId> excluded = new HashSet<>(failedAtMillis.keySet());
    open.values().forEach(one -> excluded.add(one.to()));
    List<DaemonId> shuffled = new ArrayList<>(candidates);
    shuffled.removeAll(excluded);
    shuffle(shuffled);
    List<Request> requests = new ArrayList<>();
    for (DaemonId to : shuffled) {
      if (open.size() >= maximumOpen) {
        break;
      }
      open.put(++lastNumber, new Open(to, nowMillis));
      requests.add(new Request(to, lastNumber, sections));
    }
    return requests;
  }

  private void shuffle(List<DaemonId> daemons) {
    for (int last = daemons.size() - 1; last > 0; last--) {
      Collections.swap(daemons, last, random.nextInt(last + 1));
    }
  }

  private List<DaemonId> newestHolders(List<DaemonId> reachable) {
    long newest = holders.values().stream().mapToLong(Holding::version).max().orElse(0);
    return reachable.stream()
        .filter(one -> holders.containsKey(one) && holders.get(one).version() == newest)
        .toList();
  }

  private void dropSilent(long nowMillis) {
    List.copyOf(open.entrySet()).stream()
        .filter(one -> nowMillis - one.getValue().progressAtMillis() >= SILENCE_MILLIS)
        .forEach(one -> failed(one.getKey(), nowMillis));
    failedAtMillis.values().removeIf(at -> nowMillis - at >= RETRY_MILLIS);
  }

  private void updateNewerSince(long ownVersion, long nowMillis) {
    holders
        .values()
        .removeIf(
            one -> one.version() <= ownVersion || nowMillis - one.toldAtMillis() >= FORGET_MILLIS);
    if (holders.isEmpty()) {
      newerSinceMillis = OptionalLong.empty();
    } else if (newerSinceMillis.isEmpty()) {
      newerSinceMillis = OptionalLong.of(nowMillis);
    }
  }
}
