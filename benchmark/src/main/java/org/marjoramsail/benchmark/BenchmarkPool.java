package org.marjoramsail.benchmark;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.marjoramsail.core.configuration.Configuration;
import org.marjoramsail.core.configuration.ModelDefinition;
import org.marjoramsail.core.configuration.ServiceDefinition;
import org.marjoramsail.core.configuration.ServiceKind;
import org.marjoramsail.core.configuration.UpstreamDefinition;
import org.marjoramsail.core.model.DaemonId;
import org.marjoramsail.core.model.RequestId;
import org.marjoramsail.core.model.ServiceClass;
import org.marjoramsail.core.model.UpstreamName;
import org.marjoramsail.core.model.UpstreamRole;
import org.marjoramsail.core.placement.PlacementRequest;
import org.marjoramsail.core.placement.PlacementSettings;
import org.marjoramsail.core.placement.PlacerSetup;
import org.marjoramsail.core.placement.ShardId;

/** Pools and requests of a given size. */
final class BenchmarkPool {

  static final ShardId SHARD = new ShardId("model", "region", 0);
  static final int SLOTS = 20;
  static final long KV_BYTES_PER_TOKEN = 100_000;

  private static final int LARGEST_SHARD = 96;
  private static final int LARGE_QUEUE = 100_000;
  private static final long FAR_MILLIS = 1_000_000_000_000L;
  private static final int PROMPT_TOKENS = 4_000;
  private static final int OUTPUT_TOKENS = 200;
  private static final int PREFIXES = 64;

  private BenchmarkPool() {}

  static Configuration configuration(int prefills, int decodes, int slots) {
    List<UpstreamDefinition> upstreams = new ArrayList<>();
    for (int number = 0; number < prefills; number++) {
      upstreams.add(upstream("prefill-" + number, UpstreamRole.PREFILL, slots, number));
    }
    for (int number = 0; number < decodes; number++) {
      upstreams.add(upstream("decode-" + number, UpstreamRole.DECODE, slots, number));
    }
    return new Configuration(
        1,
        List.of(new ServiceDefinition("model", ServiceKind.MODEL, Optional.of("weights"))),
        List.of(new ModelDefinition("weights", "1", List.of(), KV_BYTES_PER_TOKEN)),
        upstreams,
        List.of(),
        List.of());
  }

  static PlacerSetup setup(Configuration configuration, PlacementSettings settings, long seed) {
    return new PlacerSetup(
        SHARD, configuration, settings, daemon -> Optional.empty(), new Random(seed), false);
  }

  /** The default settings with room for a queue of any benchmarked size. */
  static PlacementSettings largeQueueSettings() {
    return PlacementSettings.defaults()
        .withMaximumWaiting(LARGE_QUEUE)
        .withShardUpstreams(LARGEST_SHARD);
  }

  static PlacementRequest request(long number, int organisations, int hashes) {
    ServiceClass serviceClass =
        number % 10 == 0
            ? ServiceClass.QUICK
            : number % 5 == 1 ? ServiceClass.DEFERRABLE : ServiceClass.STANDARD;
    List<Long> prefix = new ArrayList<>(hashes);
    long story = number % PREFIXES + 1;
    for (int block = 0; block < hashes; block++) {
      prefix.add(story * 0x9E3779B97F4A7C15L + block * 0xD1B54A32D192ED03L);
    }
    return new PlacementRequest(
        new RequestId("request-" + number),
        1,
        new DaemonId("entry-" + number % 6, 1),
        "model",
        "organisation-" + number % organisations,
        "rule",
        serviceClass,
        PROMPT_TOKENS,
        OUTPUT_TOKENS,
        prefix,
        0,
        FAR_MILLIS,
        FAR_MILLIS,
        List.of(),
        Optional.empty(),
        false);
  }

  private static UpstreamDefinition upstream(
      String name, UpstreamRole role, int slots, int number) {
    String zone = "zone-" + number % 3;
    return new UpstreamDefinition(
        new UpstreamName(name), "model", role, "127.0.0.1", 1, zone, "region", slots, true, false);
  }
}
