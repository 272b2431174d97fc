package org.marjoramsail.core.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.marjoramsail.core.configuration.Configuration;
import org.marjoramsail.core.configuration.UpstreamDefinition;
import org.marjoramsail.core.membership.Member;
import org.marjoramsail.core.membership.MemberState;
import org.marjoramsail.core.membership.MembershipView;
import org.marjoramsail.core.model.DaemonId;
import org.marjoramsail.core.model.UpstreamRole;

final class ShardMapTest {

  @Test
  void largePoolsAreSlicedEvenlyInTheRatioOfTheirRoles() {
    ShardMap map = new ShardMap(PlacementFixtures.pool(64, 128, 20));

    assertThat(map.shards()).hasSize(8);
    for (ShardId shard : map.shards()) {
      List<UpstreamDefinition> upstreams = map.upstreamsOf(shard);
      assertThat(upstreams).hasSize(24);
      assertThat(upstreams).filteredOn(it -> it.role() == UpstreamRole.PREFILL).hasSize(8);
    }
  }

  @Test
  void removingAnUpstreamMovesFewOthers() {
    Configuration before = PlacementFixtures.pool(64, 120, 20);
    List<UpstreamDefinition> fewer = new ArrayList<>(before.upstreams());
    fewer.remove(17);
    Configuration after =
        new Configuration(2, before.services(), before.models(), fewer, List.of(), List.of());
    ShardMap first = new ShardMap(before);
    ShardMap second = new ShardMap(after);

    long moved =
        first.shards().stream()
            .flatMap(shard -> first.upstreamsOf(shard).stream().map(it -> new Place(shard, it)))
            .filter(place -> fewer.contains(place.upstream()))
            .filter(place -> !second.upstreamsOf(place.shard()).contains(place.upstream()))
            .count();

    assertThat(moved).isLessThan(20);
  }

  @Test
  void onlyEligibleDaemonsOfTheRegionOwnItsShards() {
    List<Member> members = new ArrayList<>();
    IntStream.range(0, 6).forEach(number -> members.add(member("l" + number, "litoral")));
    IntStream.range(0, 6).forEach(number -> members.add(member("s" + number, "santiago")));
    MembershipView view = new MembershipView(members.get(0), members);
    ShardId shard = PlacementFixtures.MODEL_SHARD;

    Member owner = ShardMap.ownerOf(shard, view).orElseThrow();
    assertThat(owner.region()).isEqualTo("litoral");

    List<Member> without = members.stream().filter(member -> !member.equals(owner)).toList();
    Optional<Member> next = ShardMap.ownerOf(shard, new MembershipView(without.get(0), without));
    assertThat(next).isPresent();
    assertThat(next.get().region()).isEqualTo("litoral");
    assertThat(ShardMap.ownerOf(new ShardId("lector", "nowhere", 0), view)).isEmpty();
  }

  /**
   * Guards against slices that cannot balance roles and memory with each other in a pool that one
   * owner can manage.
   */
  @Test
  void poolsWithinTheCapacityOfOneOwnerAreNotSliced() {
    assertThat(new ShardMap(PlacementFixtures.pool(12, 22, 16)).shards()).hasSize(1);
    assertThat(new ShardMap(PlacementFixtures.pool(16, 32, 16)).shards()).hasSize(1);
    assertThat(new ShardMap(PlacementFixtures.pool(16, 33, 16)).shards()).hasSize(4);
  }

  /**
   * Guards against an owner on a small host that delays the requests of its pool while large hosts
   * are idle.
   */
  @Test
  void hostsWithTheLargestProcessorsRankFirst() {
    List<Member> members = new ArrayList<>();
    IntStream.range(0, 70).forEach(number -> members.add(member("small-" + number, 360)));
    IntStream.range(0, 3).forEach(number -> members.add(member("large-" + number, 1_500)));
    MembershipView view = new MembershipView(members.get(0), members);

    for (int slice = 0; slice < 50; slice++) {
      ShardId shard = new ShardId("lector", "litoral", slice);
      List<String> ranked =
          ShardMap.ranking(shard, view).map(member -> member.id().host()).toList();

      assertThat(ranked).hasSize(73);
      assertThat(ranked.subList(0, 3)).allMatch(host -> host.startsWith("large-"));
    }
  }

  /** Processors that are nearly equal do not concentrate the shards on a few hosts. */
  @Test
  void hostsWithSimilarProcessorsShareTheShards() {
    List<Member> members = new ArrayList<>();
    IntStream.range(0, 10).forEach(number -> members.add(member("host-" + number, 700 + number)));
    MembershipView view = new MembershipView(members.get(0), members);

    long owners =
        IntStream.range(0, 200)
            .mapToObj(slice -> new ShardId("lector", "litoral", slice))
            .map(shard -> ShardMap.ownerOf(shard, view).orElseThrow().id())
            .distinct()
            .count();

    assertThat(owners).isEqualTo(10);
  }

  @Test
  void requestsWithTheSamePrefixGoToTheSameSliceUntilItIsMuchMoreLoaded() {
    ShardMap map = new ShardMap(PlacementFixtures.pool(64, 128, 20));
    PlacementRequest request = PlacementFixtures.request("r").hashes(List.of(7L, 8L)).build();
    PlacementRequest samePrefix = PlacementFixtures.request("s").hashes(List.of(7L, 9L)).build();

    ShardId first = map.shardFor(request, "litoral", shard -> 0.5).orElseThrow();

    assertThat(map.shardFor(samePrefix, "litoral", shard -> 0.5)).contains(first);
    assertThat(map.shardFor(samePrefix, "litoral", shard -> shard.equals(first) ? 0.9 : 0.5))
        .isPresent()
        .get()
        .isNotEqualTo(first);
    assertThat(map.shardFor(request, "nowhere", shard -> 0)).isEmpty();
  }

  private static Member member(String host, String region) {
    return new Member(new DaemonId(host, 1), "127.0.0.1", 1, "a", region, MemberState.ALIVE);
  }

  private static Member member(String host, int milliCores) {
    return new Member(
        new DaemonId(host, 1), "127.0.0.1", 1, "a", "litoral", MemberState.ALIVE, milliCores);
  }

  private record Place(ShardId shard, UpstreamDefinition upstream) {}
}
