package org.marjoramsail.core.order;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.Comparator;
import java.util.List;
import org.marjoramsail.core.membership.Member;
import org.marjoramsail.core.membership.MembershipView;

/** Assigns services to leases, and leases to the daemons that may acquire them. */
public final class LeaseCandidates {

  /** Total number of leases. */
  public static final int LEASES = 4;

  private static final int CANDIDATES = 3;

  private LeaseCandidates() {}

  /** Returns the number, from zero, of the lease that covers a service. */
  public static int leaseOf(String service) {
    return (int) Math.floorMod(Hashing.xxh3_64().hashCharsToLong(service), (long) LEASES);
  }

  /** Returns whether the daemon of this view should try to acquire a lease. */
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
