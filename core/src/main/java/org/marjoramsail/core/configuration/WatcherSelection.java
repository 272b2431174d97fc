package org.marjoramsail.core.configuration;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.marjoramsail.core.membership.Member;
import org.marjoramsail.core.membership.MembershipView;

/** Selects the daemons of a region that watch the store; the result is equal on all daemons. */
final class WatcherSelection {

  private WatcherSelection() {}

  /**
   * Returns the daemons of a region that should watch: the one with the lowest rank, and the one
   * with the lowest rank in another availability zone, if there is one. An availability zone
   * without access to the store then leaves one watcher.
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
