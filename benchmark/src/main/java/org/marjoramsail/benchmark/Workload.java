package org.marjoramsail.benchmark;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.marjoramsail.core.model.DaemonId;
import org.marjoramsail.core.model.RequestId;
import org.marjoramsail.core.model.ServiceClass;
import org.marjoramsail.core.placement.PlacementRequest;
import org.marjoramsail.core.placement.SampledPrefixHashes;

/** Seeded open-loop arrivals: quick lookups, standard requests, long deferrable summaries. */
final class Workload {

  static final int BLOCK_TOKENS = 16;
  static final int ENTRIES = 6;

  private static final int STORIES = 40;
  private static final double REPEATED_SHARE = 0.3;
  private static final double MEAN_PROMPT_TOKENS = 0.3 * 60 + 0.4 * 1_000 + 0.3 * 5_000;
  private static final double MEAN_OUTPUT_TOKENS = 0.3 * 20 + 0.4 * 80 + 0.3 * 200;

  private final Random random;
  private final double perMilli;
  private double atMillis;
  private long number;

  Workload(long seed, double perMilli) {
    this.random = new Random(seed);
    this.perMilli = perMilli;
  }

  static double meanPromptTokens() {
    return MEAN_PROMPT_TOKENS;
  }

  static double meanOutputTokens() {
    return MEAN_OUTPUT_TOKENS;
  }

  /** Moves to the next arrival; gives its time. */
  long nextArrival() {
    atMillis += -Math.log(1 - random.nextDouble()) / perMilli;
    return (long) atMillis;
  }

  /** The request that arrives now. */
  PlacementRequest nextRequest() {
    number++;
    double kind = random.nextDouble();
    if (kind < 0.3) {
      return request(ServiceClass.QUICK, 40 + random.nextInt(40), 20, 350, 5_000);
    }
    if (kind < 0.7) {
      return request(ServiceClass.STANDARD, longTailed(1_000), 80, 2_000, 20_000);
    }
    return request(ServiceClass.DEFERRABLE, longTailed(5_000), 200, 30_000, 30_000);
  }

  /** Log-normal with sigma 0.7 and the given mean. */
  private int longTailed(double mean) {
    double sigma = 0.7;
    double factor = Math.exp(sigma * random.nextGaussian() - sigma * sigma / 2);
    return (int) Math.max(100, Math.min(16 * mean, mean * factor));
  }

  private PlacementRequest request(
      ServiceClass serviceClass, int prompt, int output, long firstToken, long deadline) {
    boolean isRepeated = random.nextDouble() < REPEATED_SHARE;
    long story = isRepeated ? random.nextInt(STORIES) : STORIES + number;
    List<Long> hashes = new ArrayList<>();
    for (int place = 0; SampledPrefixHashes.blocks(place) <= prompt / BLOCK_TOKENS; place++) {
      hashes.add((story + 1) * 0x9E3779B97F4A7C15L + place * 0xD1B54A32D192ED03L);
    }
    return new PlacementRequest(
        new RequestId("request-" + number),
        1,
        new DaemonId("entry-" + random.nextInt(ENTRIES), 1),
        "model",
        "organisation-" + random.nextInt(8),
        serviceClass.name(),
        serviceClass,
        prompt,
        output,
        hashes,
        0,
        firstToken,
        deadline,
        List.of(),
        Optional.empty(),
        false);
  }
}
