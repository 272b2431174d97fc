package org.marjoramsail.standin.engine;

/**
 * All rates and delays of the engine stand-in; {@link #defaults()} is the one place of their
 * values.
 *
 * @param timeScale how many times faster than the real engine everything passes
 * @param tickMillis real time between two looks at the model, in milliseconds
 * @param decodeStepMicros fixed part of a decode step, in microseconds
 * @param decodeStepPerRequestMicros part of a decode step for each running request, in microseconds
 * @param prefillTokensPerSecond prompt tokens read a second
 * @param prefillChunkTokens prompt tokens read in one step of a prefill engine
 * @param decodeChunkTokens prompt tokens read in one step beside decoding
 * @param kvLifetimeMillis how long a finished prefill is kept for its export, in milliseconds
 * @param linkBytesPerSecond rate of an engine's link in each direction, in bytes a second
 * @param reportEveryMillis time between two load reports, in milliseconds
 * @param reportLagMillis age at which a load report is first seen, in milliseconds
 * @param cacheEventLagMillis age at which a cache event is first seen, in milliseconds
 * @param cacheEventLossShare share of cache events that are never seen, from 0 to 1
 * @param modelLoadMillis time to load a model when no weight store is set, in milliseconds
 * @param adapterLoadMillis time to load an adapter, in milliseconds
 * @param roleChangeMillis time to change the role, in milliseconds
 * @param restartMillis time until it is back after a prompt crashed it, in milliseconds
 */
public record EngineTimings(
    double timeScale,
    long tickMillis,
    long decodeStepMicros,
    long decodeStepPerRequestMicros,
    long prefillTokensPerSecond,
    int prefillChunkTokens,
    int decodeChunkTokens,
    long kvLifetimeMillis,
    long linkBytesPerSecond,
    long reportEveryMillis,
    long reportLagMillis,
    long cacheEventLagMillis,
    double cacheEventLossShare,
    long modelLoadMillis,
    long adapterLoadMillis,
    long roleChangeMillis,
    long restartMillis) {

  /** Refuses a time scale or a rate that is not above zero. */
  public EngineTimings {
    requirePositive("timeScale", timeScale);
    requirePositive("tickMillis", (double) tickMillis);
    requirePositive("prefillTokensPerSecond", (double) prefillTokensPerSecond);
    requirePositive("prefillChunkTokens", prefillChunkTokens);
    requirePositive("decodeChunkTokens", decodeChunkTokens);
    requirePositive("linkBytesPerSecond", (double) linkBytesPerSecond);
  }

  private static void requirePositive(String field, double value) {
    if (!(value > 0)) {
      throw new IllegalArgumentException(field + " is " + value + "; it must be above 0.");
    }
  }

  /**
   * The values that the stand-ins use unless told otherwise.
   *
   * <p>The users' figures for their engines are incomplete. From them: about twenty requests a
   * decode engine, a prefill that costs as much as many tens of output tokens, a result kept for
   * under a second, links of limited rate; and as target 26 ms between tokens. All else is assumed:
   *
   * <ul>
   *   <li>a step of 20 ms and 0.25 ms a request makes 25 ms with twenty requests: assumed, to lie
   *       just within the 26 ms;
   *   <li>10,000 prompt tokens a second: assumed; 1,000 tokens take 100 ms, in which a full decode
   *       engine makes 80 tokens;
   *   <li>800 ms of life for KV cache: assumed, from "under a second";
   *   <li>6.25 GB a second (50 Gbit/s) a link: assumed; a prompt of 1,700 tokens of 128 KiB takes
   *       36 ms;
   *   <li>reports each 250 ms with a lag of 250 ms, cache events 500 ms late with 2% lost: assumed;
   *   <li>20 s to load a model, 2 s an adapter, 3 s to change role, 2 s to restart: assumed.
   * </ul>
   */
  public static EngineTimings defaults() {
    return new EngineTimings(
        1.0,
        2,
        20_000,
        250,
        10_000,
        2_048,
        512,
        800,
        6_250_000_000L,
        250,
        250,
        500,
        0.02,
        20_000,
        2_000,
        3_000,
        2_000);
  }

  /** The same timings, so many times faster than the real engine. */
  public EngineTimings scaled(double scale) {
    return new EngineTimings(
        scale,
        tickMillis,
        decodeStepMicros,
        decodeStepPerRequestMicros,
        prefillTokensPerSecond,
        prefillChunkTokens,
        decodeChunkTokens,
        kvLifetimeMillis,
        linkBytesPerSecond,
        reportEveryMillis,
        reportLagMillis,
        cacheEventLagMillis,
        cacheEventLossShare,
        modelLoadMillis,
        adapterLoadMillis,
        roleChangeMillis,
        restartMillis);
  }

  /** Real milliseconds for a time of the engine, at least one. */
  long realMillis(long engineMillis) {
    return Math.max(1, Math.round(engineMillis / timeScale));
  }
}
