package org.marjoramsail.core.stream;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.marjoramsail.core.membership.Member;
import org.marjoramsail.core.membership.MemberState;
import org.marjoramsail.core.membership.MembershipView;
import org.marjoramsail.core.model.DaemonId;

class StreamReplicasTest {

  private static final int ZONES = 3;
  private static final int STREAMS = 500;

  private final Random random = new Random(56);

  @Test
  void copiesAreInAllZones() {
    List<Member> fleet = fleet(7);

    for (int stream = 0; stream < STREAMS; stream++) {
      Set<String> zones =
          replicas(fleet.get(0), fleet).holders(key(stream)).stream()
              .map(holder -> zoneOf(fleet, holder))
              .collect(Collectors.toSet());
      assertThat(zones).hasSize(ZONES);
    }
  }

  /** Guards against a stream that is lost although daemons that keep its origin still run. */
  @ParameterizedTest
  @ValueSource(ints = {7, 77, 390})
  void aDaemonThatIsAskedAfterFailuresKeepsACopyIfAnyDoes(int size) {
    List<Member> fleet = fleet(size);
    for (int stream = 0; stream < STREAMS; stream++) {
      Collections.shuffle(fleet, random);
      Member first = fleet.get(0);
      List<DaemonId> holders = replicas(first, fleet).holders(key(stream));
      List<Member> left = new ArrayList<>(fleet.subList(1, fleet.size()));
      left.removeIf(member -> random.nextInt(3) == 0 && left.size() > 1);
      Member resuming = left.get(random.nextInt(left.size()));

      List<DaemonId> asked = replicas(resuming, left).asked(key(stream));

      Set<DaemonId> reached = new HashSet<>(asked);
      reached.add(resuming.id());
      assertThat(left.stream().map(Member::id).filter(holders::contains))
          .allMatch(reached::contains);
    }
  }

  /** Guards against daemons that join and displace all that keep the origins of running streams. */
  @ParameterizedTest
  @ValueSource(ints = {7, 77, 390})
  void aDaemonThatIsAskedAfterOthersHaveJoinedKeepsACopy(int size) {
    List<Member> fleet = fleet(size);
    List<Member> grown = fleet(size + size / 3);
    for (int stream = 0; stream < STREAMS; stream++) {
      List<DaemonId> holders = replicas(fleet.get(0), fleet).holders(key(stream));

      List<DaemonId> asked = replicas(fleet.get(1), grown).asked(key(stream));

      Set<DaemonId> reached = new HashSet<>(asked);
      reached.add(fleet.get(1).id());
      assertThat(holders).anyMatch(reached::contains);
    }
  }

  /** Guards against a fleet of which most daemons fail and that knows hardly a stream any more. */
  @ParameterizedTest
  @ValueSource(ints = {7, 77, 390})
  void halfOfTheStreamsStayKnownWhenThreeQuartersOfTheDaemonsFail(int size) {
    List<Member> fleet = fleet(size);
    int known = 0;
    for (int stream = 0; stream < STREAMS; stream++) {
      Collections.shuffle(fleet, random);
      List<DaemonId> holders = replicas(fleet.get(0), fleet).holders(key(stream));
      List<DaemonId> left =
          fleet.subList(1 + (3 * (size - 1) + 2) / 4, size).stream().map(Member::id).toList();
      known += holders.stream().anyMatch(left::contains) ? 1 : 0;
    }

    assertThat(known).isGreaterThan(STREAMS / 2);
  }

  private static StreamKey key(int stream) {
    return StreamKey.of("rosario", "attempt-" + stream);
  }

  private static String zoneOf(List<Member> fleet, DaemonId daemon) {
    return fleet.stream()
        .filter(member -> member.id().equals(daemon))
        .map(Member::availabilityZone)
        .findFirst()
        .orElseThrow();
  }

  private static StreamReplicas replicas(Member self, List<Member> members) {
    return new StreamReplicas(new MembershipView(self, members));
  }

  private static List<Member> fleet(int size) {
    List<Member> members = new ArrayList<>();
    for (int number = 0; number < size; number++) {
      members.add(
          new Member(
              new DaemonId("host-" + number, 1),
              "10.0.0.1",
              1,
              "zone-" + number % ZONES,
              "region",
              MemberState.ALIVE));
    }
    return members;
  }
}
