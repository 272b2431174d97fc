package org.marjoramsail.core.order;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.Comparator;
import java.util.List;
import org.marjoramsail.core.membership.Member;
import org.marjoramsail.core.membership.MembershipView;

/** Which lease covers a service, and which daemons try to hold a lease. */
public final class LeaseCandidates {

  /** How many leases there are in all. */
  public static final int LEASES = 4;

  private static final int CANDIDATES = 3;

  private LeaseCandidates() {}

  /** The number of the lease that covers a service, from zero. */
  public static int leaseOf(String service) {
    return (int) Math.floorMod(Hashing.xxh3_64().hashCharsToLong(service), (long) LEASES);
  }

  /** Whether the viewing daemon should try to hold a lease. */
  public static boolean isCandidate(int lease, MembershipView view) {
    List<Member> ranked =
        view.members().stream()
            .filter(member -> member.state().isEligible())
            .sorted(
                Comparator.<Member>comparingLong(member -> rank(lease, member))
                    .thenComparing(Member::id))
            .limit(CANDIDATES)
            .toList();
    return ranked.stream().anyMatch(member -> member.id().equals(view.self().id()));
  }

  private static long rank(int lease, Member member) {
    return Hashing.xxh3_64().hashCharsToLong("orders-" + lease + "/" + member.id().host());
  }
}
