package org.marjoramsail.standin.load;

/**
 * What decides a workload; equal definitions give equal workloads.
 *
 * @param mix which requests are sent
 * @param shape how the rate changes
 * @param seed decides everything that is drawn
 * @param durationMillis for how long requests are sent
 * @param capacityPerSecond how many requests of this mix the deployment can carry in a second
 * @param loadFactor the peak rate as a multiple of that capacity
 * @param lengths how long prompts and answers are
 */
public record WorkloadDefinition(
    RequestMix mix,
    ArrivalShape shape,
    long seed,
    long durationMillis,
    double capacityPerSecond,
    double loadFactor,
    PromptLengths lengths) {

  private static final long WARM_UP_SEED_STEP = 1_000_003;
  private static final double LARGEST_WARM_UP_LOAD = 0.6;

  /** Accepts a duration, a capacity and a load above zero. */
  public WorkloadDefinition {
    if (durationMillis <= 0 || capacityPerSecond <= 0 || loadFactor <= 0) {
      throw new IllegalArgumentException(
          "Duration, capacity and load must be above zero, not %d ms, %s and %s."
              .formatted(durationMillis, capacityPerSecond, loadFactor));
    }
  }

  /**
   * Requests of the same mix that precede a run, so that compilers and estimates have settled by
   * its start. Another seed draws them, so that they share no reference and no story with the run.
   *
   * @param millis for how long they are sent
   */
  public WorkloadDefinition warmUp(long millis) {
    return new WorkloadDefinition(
        mix,
        ArrivalShape.STEADY,
        seed + WARM_UP_SEED_STEP,
        millis,
        capacityPerSecond,
        Math.min(loadFactor, LARGEST_WARM_UP_LOAD),
        lengths);
  }

  /** The rate at the peak in requests a second. */
  public double peakPerSecond() {
    return capacityPerSecond * loadFactor;
  }

  /** The same with another seed. */
  public WorkloadDefinition withSeed(long otherSeed) {
    return new WorkloadDefinition(
        mix, shape, otherSeed, durationMillis, capacityPerSecond, loadFactor, lengths);
  }

  /** The same with another peak rate. */
  public WorkloadDefinition withLoad(double otherLoadFactor) {
    return new WorkloadDefinition(
        mix, shape, seed, durationMillis, capacityPerSecond, otherLoadFactor, lengths);
  }
}
