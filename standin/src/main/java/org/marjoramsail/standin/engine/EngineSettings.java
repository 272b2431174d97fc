package org.marjoramsail.standin.engine;

import java.net.URI;
import java.util.List;
import java.util.Optional;
import org.marjoramsail.core.model.UpstreamRole;

/**
 * What one engine stand-in is at its start, and after each crash.
 *
 * @param name the upstream's name
 * @param address the local address that it listens on
 * @param port the port, or zero for one that the system chooses
 * @param role prefill or decode
 * @param model the model that it runs; empty for none
 * @param version the version of the model
 * @param adapters adapters that it has loaded
 * @param slots how many requests it holds at once
 * @param queueLimit how many more it lets wait before it refuses; each of them counts as
 *     over-commitment
 * @param kvBytesPerToken bytes of KV cache for a token
 * @param kvCapacityBytes memory for KV cache, in bytes
 * @param prefixCacheBlocks blocks that its prefix cache holds
 * @param tokenPolicy what it does with stale orders
 * @param weightStore base address of the weight store, if models are fetched from one
 * @param timings rates and delays
 */
public record EngineSettings(
    String name,
    String address,
    int port,
    UpstreamRole role,
    String model,
    String version,
    List<String> adapters,
    int slots,
    int queueLimit,
    long kvBytesPerToken,
    long kvCapacityBytes,
    int prefixCacheBlocks,
    OrderTokenPolicy tokenPolicy,
    Optional<URI> weightStore,
    EngineTimings timings) {

  private static final String LOOPBACK = "127.0.0.1";

  /** From the users: about twenty requests a decode engine. */
  private static final int DECODE_SLOTS = 20;

  /** Assumed: prompts that a prefill engine reads in turns. */
  private static final int PREFILL_SLOTS = 4;

  /** Assumed. */
  private static final int QUEUE_LIMIT = 64;

  /** Assumed: 32 layers, 8 heads of 128 values of two bytes, keys and values. */
  private static final long KV_BYTES_PER_TOKEN = 131_072;

  /** Assumed: half of an accelerator with 80 GB. */
  private static final long KV_CAPACITY_BYTES = 40_000_000_000L;

  /** Assumed: some 130,000 tokens. */
  private static final int PREFIX_CACHE_BLOCKS = 8_192;

  /** Copies the list and refuses a role that is not an engine's. */
  public EngineSettings {
    adapters = List.copyOf(adapters);
    if (role == UpstreamRole.PLAIN) {
      throw new IllegalArgumentException("An engine's role is PREFILL or DECODE, not PLAIN.");
    }
  }

  /**
   * An engine on loopback with the default limits of its role, on a port that the system chooses.
   */
  public static EngineSettings of(
      String name, UpstreamRole role, String model, EngineTimings timings) {
    return new EngineSettings(
        name,
        LOOPBACK,
        0,
        role,
        model,
        "1",
        List.of(),
        role.isGenerating() ? DECODE_SLOTS : PREFILL_SLOTS,
        QUEUE_LIMIT,
        KV_BYTES_PER_TOKEN,
        KV_CAPACITY_BYTES,
        PREFIX_CACHE_BLOCKS,
        OrderTokenPolicy.CHECKED,
        Optional.empty(),
        timings);
  }

  /** The same engine on a port of its own. */
  public EngineSettings withPort(int newPort) {
    return copy(newPort, slots, queueLimit, tokenPolicy, weightStore);
  }

  /** The same engine with other limits on what it holds and lets wait. */
  public EngineSettings withLimits(int newSlots, int newQueueLimit) {
    return copy(port, newSlots, newQueueLimit, tokenPolicy, weightStore);
  }

  /** The same engine with another treatment of stale orders. */
  public EngineSettings withTokenPolicy(OrderTokenPolicy newPolicy) {
    return copy(port, slots, queueLimit, newPolicy, weightStore);
  }

  /** The same engine, fetching its models from a weight store. */
  public EngineSettings withWeightStore(URI newWeightStore) {
    return copy(port, slots, queueLimit, tokenPolicy, Optional.of(newWeightStore));
  }

  private EngineSettings copy(
      int newPort,
      int newSlots,
      int newQueueLimit,
      OrderTokenPolicy newPolicy,
      Optional<URI> newWeightStore) {
    return new EngineSettings(
        name,
        address,
        newPort,
        role,
        model,
        version,
        adapters,
        newSlots,
        newQueueLimit,
        kvBytesPerToken,
        kvCapacityBytes,
        prefixCacheBlocks,
        newPolicy,
        newWeightStore,
        timings);
  }
}
