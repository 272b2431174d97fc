package org.marjoramsail.command.capacity;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.stream.IntStream;
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
import org.marjoramsail.core.placement.ReservingPlacer;
import org.marjoramsail.core.placement.ShardId;

/** One shard and its requests as the target size has them. */
final class TargetShard {

  static final ShardId SHARD = new ShardId("service-0", "region-a", 0);

  /** Of the target: 1,200 GB/s of KV cache over 5,300 requests/s at 128 KiB a token. */
  private static final int PROMPT_TOKENS = 1_727;

  /** Of the target: 1.5 million tokens over 5,300 requests. */
  private static final int OUTPUT_TOKENS = 283;

  private static final int ENTRIES = 390;
  private static final int STORIES = 64;
  private static final int SLOTS = 20;
  private static final int LARGE_QUEUE = 100_000;
  private static final long KV_BYTES_PER_TOKEN = 131_072;
  private static final long FAR_MILLIS = 1_000_000_000_000L;
  private static final long STORY_STEP = 0x9E3779B97F4A7C15L;
  private static final long BLOCK_STEP = 0xD1B54A32D192ED03L;

  private TargetShard() {}

  /** A placer for so many upstreams, half of them reading prompts. */
  static ReservingPlacer placer(int upstreams, long seed) {
    PlacerSetup setup =
        new PlacerSetup(
            SHARD,
            configuration(upstreams),
            settings(),
            daemon -> Optional.empty(),
            new Random(seed),
            false);
    return new ReservingPlacer(setup, 0);
  }

  /** A request whose deadline is far, with so many block hashes. */
  static PlacementRequest request(int number, int hashes) {
    List<Long> prefix = new ArrayList<>(hashes);
    for (int block = 0; block < hashes; block++) {
      prefix.add((number % STORIES + 1) * STORY_STEP + block * BLOCK_STEP);
    }
    List<ServiceClass> classes = TargetConfiguration.CLASSES;
    return new PlacementRequest(
        new RequestId("%016x".formatted(number * STORY_STEP)),
        1,
        new DaemonId("entry-host-" + number % ENTRIES, 1_700_000_000_000L),
        SHARD.service(),
        "organisation-" + number % TargetConfiguration.ORGANISATIONS,
        "rule-0-1",
        classes.get(number % classes.size()),
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

  private static Configuration configuration(int upstreams) {
    return new Configuration(
        1,
        List.of(new ServiceDefinition(SHARD.service(), ServiceKind.MODEL, Optional.of("model-0"))),
        List.of(new ModelDefinition("model-0", "1", List.of(), KV_BYTES_PER_TOKEN)),
        IntStream.range(0, upstreams).mapToObj(TargetShard::upstream).toList(),
        List.of(),
        List.of());
  }

  private static UpstreamDefinition upstream(int number) {
    return new UpstreamDefinition(
        new UpstreamName("server-" + number),
        SHARD.service(),
        number % 2 == 0 ? UpstreamRole.PREFILL : UpstreamRole.DECODE,
        TargetConfiguration.address(number),
        8_000,
        "availability-zone-" + number % 3,
        SHARD.region(),
        SLOTS,
        true,
        false);
  }

  /** The default settings with room for any measured queue. */
  private static PlacementSettings settings() {
    return PlacementSettings.defaults().withMaximumWaiting(LARGE_QUEUE);
  }
}
