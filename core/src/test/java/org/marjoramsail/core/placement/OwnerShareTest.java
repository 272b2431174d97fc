package org.marjoramsail.core.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.marjoramsail.core.membership.Member;
import org.marjoramsail.core.membership.MemberState;
import org.marjoramsail.core.membership.MembershipView;
import org.marjoramsail.core.model.DaemonId;

/** Tests the share of the fleet's limits that an owner may use. */
class OwnerShareTest {

  private static final int HOSTS = 10;

  private final OwnerShare share = new OwnerShare();

  @Test
  void aDaemonThatIsTheWholeFleetUsesWholeLimits() {
    share.fleetChanged(view(1, 0), true, 0);

    assertThat(share.at(0)).isEqualTo(1);
    assertThat(share.isProvisional(0)).isFalse();
  }

  /** Guards against a whole limit for a daemon that has just started and knows no other. */
  @Test
  void aDaemonThatKnowsOfOtherHostsGrantsNothingUntilItHasTriedToJoinThem() {
    share.fleetChanged(view(1, HOSTS - 1), true, 0);

    assertThat(share.at(299)).isZero();
    assertThat(share.at(300)).isEqualTo(1.0 / HOSTS);
  }

  @Test
  void aStandbyUsesTheShareOfTheEntriesThatItServes() {
    share.fleetChanged(view(HOSTS, 0), false, 0);
    share.contacted(host(3), 0);
    share.contacted(host(4), 1_000);
    share.contacted(host(4), 2_000);

    assertThat(share.at(2_000)).isEqualTo(3.0 / HOSTS);
    assertThat(share.at(5_001)).isEqualTo(2.0 / HOSTS);
  }

  @Test
  void anOwnerThatHasRankedFirstForSomeTimeUsesTheShareOfTheHostsThatItReaches() {
    share.fleetChanged(view(HOSTS / 2, HOSTS / 2), true, 0);

    assertThat(share.at(2_999)).isEqualTo(1.0 / HOSTS);
    assertThat(share.at(3_000)).isEqualTo(1.1 * 0.5);
  }

  /** Guards against shares of the sides of a partition that exceed the limit by more than 10%. */
  @Test
  void sharesOfTheSidesOfAPartitionAddUpToTheLimit() {
    for (int side = 1; side < HOSTS; side++) {
      double sum = view(side, HOSTS - side).budgetShare() + view(HOSTS - side, side).budgetShare();

      assertThat(sum).isLessThanOrEqualTo(1.1 + 1e-9);
    }
  }

  private static MembershipView view(int reachable, int unknownHosts) {
    List<Member> members = new ArrayList<>();
    for (int number = 0; number < reachable; number++) {
      members.add(
          new Member(host(number), "10.0.0." + number, 1, "zone", "region", MemberState.ALIVE));
    }
    return new MembershipView(members.get(0), members, unknownHosts, 0, true);
  }

  private static DaemonId host(int number) {
    return new DaemonId("host-" + number, 1);
  }
}
