package org.marjoramsail.core.stream;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.marjoramsail.core.membership.Member;
import org.marjoramsail.core.membership.MembershipView;
import org.marjoramsail.core.model.DaemonId;

/**
 * Selects the daemons that keep the origin of a stream besides the one that began it.
 *
 * <p>Rendezvous hashing with a spread over availability zones: without any agreement, a daemon that
 * asks for a stream selects those that its origin was sent to, also after some of them have failed
 * or others have joined. The cost of a stream does not grow with the fleet.
 */
public final class StreamReplicas {

  /** Number of daemons that an origin is sent to. */
  public static final int COPIES = 4;

  /**
   * Number of daemons that are asked. It exceeds the copies, since daemons that have joined or left
   * in the meantime change the selection.
   */
  public static final int ASKED = 2 * COPIES;

  private record Ranked(DaemonId daemon, int rankInZone, long hash) {}

  private StreamReplicas() {}

  /** Returns the daemons that the origin of a stream is sent to. */
  public static List<DaemonId> holders(StreamKey key, MembershipView view) {
    return select(key, view, member -> member.state().isEligible(), COPIES);
  }

  /** Returns the daemons that are asked for the origin of a stream. */
  public static List<DaemonId> asked(StreamKey key, MembershipView view) {
    return select(key, view, member -> member.state().isReachable(), ASKED);
  }

  private static List<DaemonId> select(
      StreamKey key, MembershipView view, Predicate<Member> isCandidate, int count) {
    List<Member> byHash =
        view.members().stream()
            .filter(isCandidate)
            .filter(member -> !member.id().equals(view.self().id()))
            .sorted(Comparator.comparingLong(member -> hash(key, member)))
            .toList();
    Map<String, Integer> countByZone = new HashMap<>();
    List<Ranked> ranked = new ArrayList<>(byHash.size());
    for (Member member : byHash) {
      int rankInZone = countByZone.merge(member.availabilityZone(), 1, Integer::sum);
      ranked.add(new Ranked(member.id(), rankInZone, hash(key, member)));
    }
    return ranked.stream()
        .sorted(Comparator.comparingInt(Ranked::rankInZone).thenComparingLong(Ranked::hash))
        .limit(count)
        .map(Ranked::daemon)
        .toList();
  }

  private static long hash(StreamKey key, Member member) {
    return Hashing.xxh3_64()
        .hashStream()
        .putLong(key.high())
        .putLong(key.low())
        .putString(member.id().host())
        .getAsLong();
  }
}
