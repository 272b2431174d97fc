package org.marjoramsail.core.stream;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.marjoramsail.core.membership.Member;
import org.marjoramsail.core.membership.MembershipView;
import org.marjoramsail.core.model.DaemonId;

/**
 * Selects the daemons that keep the origin of a stream besides the one that began it.
 *
 * <p>Rendezvous hashing with a spread over availability zones: without any agreement, a daemon that
 * asks for a stream selects those that its origin was sent to, also after some of them have failed
 * or others have joined. The number of messages does not grow with the fleet.
 */
public final class StreamReplicas {

  /** Number of daemons that an origin is sent to. */
  public static final int COPIES = 4;

  /**
   * Number of daemons that are asked. It exceeds the copies, since daemons that have joined or left
   * in the meantime change the selection.
   */
  public static final int ASKED = 2 * COPIES;

  private record Candidate(DaemonId daemon, String zone, long hash) {}

  private record Ranked(DaemonId daemon, int rankInZone, long distance) {}

  private final List<Candidate> eligible;
  private final List<Candidate> reachable;

  /** Creates a selection among the members of a view, except the observing daemon itself. */
  public StreamReplicas(MembershipView view) {
    this.eligible = candidates(view, member -> member.state().isEligible());
    this.reachable = candidates(view, member -> member.state().isReachable());
  }

  /** Returns the daemons that the origin of a stream is sent to. */
  public List<DaemonId> holders(StreamKey key) {
    return select(key, eligible, COPIES);
  }

  /** Returns the daemons that are asked for the origin of a stream. */
  public List<DaemonId> asked(StreamKey key) {
    return select(key, reachable, ASKED);
  }

  private static List<Candidate> candidates(MembershipView view, Predicate<Member> isCandidate) {
    return view.members().stream()
        .filter(isCandidate)
        .filter(member -> !member.id().equals(view.self().id()))
        .map(member -> new Candidate(member.id(), member.availabilityZone(), hash(member)))
        .toList();
  }

  private static long hash(Member member) {
    return Hashing.xxh3_64().hashCharsToLong(member.id().host());
  }

  /** Selects the nearest of each zone in turn. */
  private static List<DaemonId> select(StreamKey key, List<Candidate> candidates, int count) {
    Map<String, TreeMap<Long, DaemonId>> nearestByZone = new HashMap<>();
    for (Candidate candidate : candidates) {
      long distance = distance(key, candidate);
      TreeMap<Long, DaemonId> nearest =
          nearestByZone.computeIfAbsent(candidate.zone(), unused -> new TreeMap<>());
      if (nearest.size() < count || distance < nearest.lastKey()) {
        nearest.put(distance, candidate.daemon());
      }
      if (nearest.size() > count) {
        nearest.pollLastEntry();
      }
    }
    List<Ranked> ranked = new ArrayList<>();
    for (TreeMap<Long, DaemonId> nearest : nearestByZone.values()) {
      int rankInZone = 0;
      for (Map.Entry<Long, DaemonId> entry : nearest.entrySet()) {
        ranked.add(new Ranked(entry.getValue(), rankInZone++, entry.getKey()));
      }
    }
    return ranked.stream()
        .sorted(Comparator.comparingInt(Ranked::rankInZone).thenComparingLong(Ranked::distance))
        .limit(count)
        .map(Ranked::daemon)
        .toList();
  }

  private static long distance(StreamKey key, Candidate candidate) {
    return Hashing.xxh3_64().hashLongLongToLong(key.low(), candidate.hash());
  }
}
