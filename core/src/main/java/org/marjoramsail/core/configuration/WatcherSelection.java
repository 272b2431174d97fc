package org.marjoramsail.core.configuration;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.marjoramsail.core.membership.Member;
import org.marjoramsail.core.membership.MembershipView;

/** Chooses the daemons of a region that watch the store, the same on each daemon. */
final class WatcherSelection {

  private WatcherSelection() {}

  /**
   * The daemons of a region that should watch: the lowest by rank, and the lowest of another
   * availability zone where there is one, so that one zone cut off from the store stops neither.
   */
  static List<Member> select(MembershipView view, String region) {
    List<Member> ranked = new ArrayList<>(view.eligibleInRegion(region));
    ranked.sort(Comparator.comparingLong(WatcherSelection::rank).thenComparing(Member::id));
    if (ranked.size() <= 2) {
      return ranked;
    }
    Member first = ranked.get(0);
    Member second =
        ranked.stream()
            .filter(member -> !member.availabilityZone().equals(first.availabilityZone()))
            .findFirst()
            .orElse(ranked.get(1));
    return List.of(first, second);
  }

  private static long rank(Member member) {
    return Hashing.xxh3_64().hashCharsToLong("configuration-watch/" + member.id().host());
  }
}
