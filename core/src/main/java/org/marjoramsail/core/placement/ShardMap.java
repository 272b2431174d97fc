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
 * Slices the upstreams of each service and region into shards, and names the owner of each.
 *
 * <p>Everything follows from the configuration and the hash of names, so that daemons with the same
 * configuration agree without a message. The number of slices is a power of two that follows from
 * how many upstreams are configured, live or not: it changes only where an operator doubles or
 * halves a pool, never because upstreams come and go.
 */
public final class ShardMap {

  /** The most upstreams of a slice; with slices in powers of two it has at least half as many. */
  public static final int MAXIMUM_UPSTREAMS = 24;

  /**
   * Pools of up to so many slices' upstreams are not sliced. All requests of such a pool share its
   * memory, and its one owner, which also holds the lease for orders, has roles changed wherever
   * that helps; of two slices only one had any changed. An owner of more would exceed what control
   * may cost a host.
   */
  private static final int UNSLICED_POOL_FACTOR = 2;

  /** A shard must have this much more load than the other choice before a prefix leaves it. */
  private static final double LOAD_DIFFERENCE_FOR_SECOND_CHOICE = 0.25;

  private final int maximumUpstreams;
  private final Map<ShardId, List<UpstreamDefinition>> shards = new TreeMap<>();

  /** Slices all services of {@code configuration} into shards of the usual size. */
  public ShardMap(Configuration configuration) {
    this(configuration, MAXIMUM_UPSTREAMS);
  }

  /** Slices all services of {@code configuration} into shards of at most that many upstreams. */
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

  /** All shards, in order. */
  public List<ShardId> shards() {
    return List.copyOf(shards.keySet());
  }

  /** The shards of one service in one region, by slice; empty when it has no upstreams there. */
  public List<ShardId> shardsOf(String service, String region) {
    return shards.keySet().stream()
        .filter(shard -> shard.service().equals(service) && shard.region().equals(region))
        .toList();
  }

  /** The upstreams of a shard, by name; empty for a shard that the configuration does not have. */
  public List<UpstreamDefinition> upstreamsOf(ShardId shard) {
    return List.copyOf(shards.getOrDefault(shard, List.of()));
  }

  /**
   * The daemon that owns a shard: the one with the highest hash among the eligible daemons of the
   * shard's region.
   *
   * @return empty when no daemon of that region is eligible
   */
  public static Optional<Member> ownerOf(ShardId shard, MembershipView view) {
    return ranking(shard, view).findFirst();
  }

  /**
   * The daemons that may own a shard, the owner first: whoever is next takes over when those before
   * it are gone or silent.
   *
   * <p>Those whose hosts have half of the greatest processor or more come first. An owner handles
   * some messages for each request of its pool; a host with a third of a core was busy with those
   * of two hundred requests a second, and plain requests waited a second for their places.
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
   * The shard that should serve a request: of two shards that follow from the first block of its
   * prompt, the first unless it has clearly more load. Requests without a prompt are spread by
   * their identifier.
   *
   * @param region where the request is to be served
   * @param load last known load of a shard, as waiting and running over slots
   * @return empty when the service has no upstreams in that region
   */
  public Optional<ShardId> shardFor(
      PlacementRequest request, String region, ToDoubleFunction<ShardId> load) {
    List<ShardId> choices = shardsOf(request.service(), region);
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

  /** How many slices a pool of that many configured upstreams has. */
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

  /** Rendezvous hashing with a bound on each slice, so that each role is spread evenly. */
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
