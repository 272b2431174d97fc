package org.marjoramsail.core.placement;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.ToDoubleFunction;
import java.util.stream.Stream;
import org.marjoramsail.core.configuration.Configuration;
import org.marjoramsail.core.configuration.UpstreamDefinition;
import org.marjoramsail.core.membership.Member;
import org.marjoramsail.core.membership.MembershipView;
import org.marjoramsail.core.model.UpstreamRole;

/**
 * Slices the upstreams of each service and region into shards, and ranks the daemons that may own
 * each.
 *
 * <p>The result depends only on the configuration and on hashes of names, so that daemons with the
 * same configuration agree without a message. The number of slices is a power of two that depends
 * on the number of configured upstreams, live or not. It changes only where an operator doubles or
 * halves a pool, not when upstreams start or fail.
 */
public final class ShardMap {

  /**
   * The maximum number of upstreams in a slice; slice counts are powers of two, so a slice has at
   * least half as many.
   */
  public static final int MAXIMUM_UPSTREAMS = 24;

  /**
   * A pool of up to this many times the upstreams of a slice is not sliced. All requests of such a
   * pool share its memory, and its single owner can change the role of any of its engines: the
   * owner of only one of two slices would hold the lease for orders. In larger pools the cost of
   * placement for one owner would be too high.
   */
  private static final int UNSLICED_POOL_FACTOR = 2;

  /**
   * The first choice for a prefix is left when its load exceeds that of the second by more than
   * this.
   */
  private static final double LOAD_DIFFERENCE_FOR_SECOND_CHOICE = 0.25;

  private final int maximumUpstreams;
  private final Map<ShardId, List<UpstreamDefinition>> shards = new TreeMap<>();

  /**
   * Slices all services of {@code configuration} into shards of up to {@link #MAXIMUM_UPSTREAMS}.
   */
  public ShardMap(Configuration configuration) {
    this(configuration, MAXIMUM_UPSTREAMS);
  }

  /**
   * Slices all services of {@code configuration} into shards of at most {@code maximumUpstreams}.
   */
  public ShardMap(Configuration configuration, int maximumUpstreams) {
    this.maximumUpstreams = maximumUpstreams;
    Map<String, Map<String, List<UpstreamDefinition>>> pools = new TreeMap<>();
    for (UpstreamDefinition upstream : configuration.upstreams()) {
      pools
          .computeIfAbsent(upstream.service(), service -> new TreeMap<>())
          .computeIfAbsent(upstream.region(), region -> new ArrayList<>())
          .add(upstream);
    }
    pools.forEach((service, regions) -> regions.forEach((region, pool) -> slice(service, pool)));
  }

  /** Returns all shards, in order. */
  public List<ShardId> shards() {
    return List.copyOf(shards.keySet());
  }

  /**
   * Returns the shards of one service in one region, by slice; empty when it has no upstreams
   * there.
   */
  public List<ShardId> shardsOf(String service, String region) {
    return shards.keySet().stream()
        .filter(shard -> shard.service().equals(service) && shard.region().equals(region))
        .toList();
  }

  /**
   * Returns the upstreams of a shard, by name; empty for a shard that the configuration does not
   * have.
   */
  public List<UpstreamDefinition> upstreamsOf(ShardId shard) {
    return List.copyOf(shards.getOrDefault(shard, List.of()));
  }

  /**
   * Returns the first daemon in the {@linkplain #ranking ranking} of a shard, which owns it.
   *
   * @return empty when no daemon of the shard's region is eligible
   */
  public static Optional<Member> ownerOf(ShardId shard, MembershipView view) {
    return ranking(shard, view).findFirst();
  }

  /**
   * Returns the daemons that may own a shard, the owner first; each takes over when those ranked
   * before it have failed or do not respond.
   *
   * <p>Daemons on hosts with at least half of the largest processor come first, because an owner
   * handles several messages for each request of its pool and would delay requests on a small host.
   * Among these, the order follows the hash of the shard and the host.
   */
  public static Stream<Member> ranking(ShardId shard, MembershipView view) {
    List<Member> eligible = view.eligibleInRegion(shard.region());
    int greatest = eligible.stream().mapToInt(Member::milliCores).max().orElse(0);
    String prefix = shard + "|";
    return eligible.stream()
        .sorted(
            Comparator.<Member, Boolean>comparing(member -> 2L * member.milliCores() >= greatest)
                .thenComparingLong(member -> hash(prefix + member.id().host()))
                .thenComparing(Member::id)
                .reversed());
  }

  /**
   * Returns the shard to serve a request. The first block of the prompt selects two shards; the
   * first is used unless its load is clearly higher. Requests without a prompt are spread by their
   * identifier.
   *
   * @param region where the request is to be served
   * @param load the last known load of a shard: waiting and running requests, divided by slots
   * @return empty when the service has no upstreams in that region that may serve the request
   */
  public Optional<ShardId> shardFor(
      PlacementRequest request, String region, ToDoubleFunction<ShardId> load) {
    List<ShardId> choices = shardsFor(request, region);
    if (choices.size() < 2) {
      return choices.stream().findFirst();
    }
    long key =
        request.prefixHashes().isEmpty()
            ? hash(request.request().value())
            : request.prefixHashes().get(0);
    List<ShardId> ranked =
        choices.stream()
            .sorted(Comparator.comparingLong(shard -> -rank(key, shard.slice())))
            .limit(2)
            .toList();
    double first = load.applyAsDouble(ranked.get(0));
    double second = load.applyAsDouble(ranked.get(1));
    return Optional.of(
        first > second + LOAD_DIFFERENCE_FOR_SECOND_CHOICE ? ranked.get(1) : ranked.get(0));
  }

  /**
   * Returns the shards of a region that may serve a request; for one that continues an output,
   * those with an upstream of its software version.
   */
  private List<ShardId> shardsFor(PlacementRequest request, String region) {
    List<ShardId> ofService = shardsOf(request.service(), region);
    return request.requiredVersion().isEmpty()
        ? ofService
        : ofService.stream()
            .filter(
                shard ->
                    shards.get(shard).stream()
                        .anyMatch(
                            upstream ->
                                upstream.role() == UpstreamRole.DECODE
                                    && !upstream.drained()
                                    && upstream.mayContinue(request.requiredVersion())))
            .toList();
  }

  /** Returns the number of slices of a pool with that many configured upstreams. */
  private int sliceCount(int upstreams) {
    if (upstreams <= UNSLICED_POOL_FACTOR * maximumUpstreams) {
      return 1;
    }
    int slices = UNSLICED_POOL_FACTOR;
    while (upstreams > slices * maximumUpstreams) {
      slices *= 2;
    }
    return slices;
  }

  private void slice(String service, List<UpstreamDefinition> pool) {
    int slices = sliceCount(pool.size());
    String region = pool.get(0).region();
    for (int slice = 0; slice < slices; slice++) {
      shards.put(new ShardId(service, region, slice), new ArrayList<>());
    }
    for (UpstreamRole role : UpstreamRole.values()) {
      List<UpstreamDefinition> members =
          pool.stream()
              .filter(upstream -> upstream.role() == role)
              .sorted(Comparator.comparingLong(upstream -> hash(upstream.name().value())))
              .toList();
      assign(members, service, region, slices);
    }
    for (int slice = 0; slice < slices; slice++) {
      shards
          .get(new ShardId(service, region, slice))
          .sort(Comparator.comparing(UpstreamDefinition::name));
    }
  }

  /**
   * Assigns upstreams by rendezvous hashing with a bound on each slice, so that each role is spread
   * evenly.
   */
  private void assign(List<UpstreamDefinition> members, String service, String region, int slices) {
    int bound = (members.size() + slices - 1) / slices;
    int[] assigned = new int[slices];
    for (UpstreamDefinition member : members) {
      long key = hash(member.name().value());
      int best = -1;
      for (int slice = 0; slice < slices; slice++) {
        boolean isOpen = assigned[slice] < bound;
        if (isOpen && (best < 0 || rank(key, slice) > rank(key, best))) {
          best = slice;
        }
      }
      assigned[best]++;
      shards.get(new ShardId(service, region, best)).add(member);
    }
  }

  private static long rank(long key, int slice) {
    return Hashing.xxh3_64().hashLongIntToLong(key, slice) >>> 1;
  }

  private static long hash(String text) {
    return Hashing.xxh3_64().hashCharsToLong(text);
  }
}
