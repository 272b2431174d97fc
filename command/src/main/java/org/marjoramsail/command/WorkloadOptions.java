package org.marjoramsail.command;

import com.github.rvesse.airline.annotations.Option;
import org.marjoramsail.standin.load.ArrivalShape;
import org.marjoramsail.standin.load.PromptLengths;
import org.marjoramsail.standin.load.RequestMix;
import org.marjoramsail.standin.load.WorkloadDefinition;

/** The options that decide a workload, for all commands that send one. */
final class WorkloadOptions {

  static final String DEPLOYMENT = "--deployment";
  private static final String SHAPE = "--shape";
  private static final String SECONDS = "--seconds";
  private static final String LOAD = "--load";
  private static final long MILLIS_PER_SECOND = 1_000;
  private static final double MOST_SECONDS = 86_400;
  static final double MOST_LOAD = 10;

  @Option(
      name = DEPLOYMENT,
      title = "name",
      description = "Whose requests are sent: cabildo-abierto or rosario. Default: cabildo-abierto")
  private String deployment = "cabildo-abierto";

  @Option(
      name = SHAPE,
      title = "name",
      description =
          "How the rate changes: steady, rush (a vote opens), evening-news (a deadline in two"
              + " steps) or long-prompt-burst (200 at once). Default: rush")
  private String shape = "rush";

  @Option(
      name = "--seed",
      title = "seed",
      description = "Decides all that is drawn; equal seeds give equal requests. Default: 1")
  private long seed = 1;

  @Option(
      name = SECONDS,
      title = "seconds",
      description = "For how long requests are sent, 1 to 86400. Default: 20")
  private double seconds = 20;

  @Option(
      name = LOAD,
      title = "load",
      description =
          "The peak rate as a multiple of what the deployment can carry, up to 10. Default: 0.7")
  private double load = 0.7;

  /** The workload, for a deployment that can carry so many requests a second. */
  WorkloadDefinition definition(double capacityPerSecond) throws UsageException {
    if (!(seconds >= 1 && seconds <= MOST_SECONDS)) {
      throw new UsageException(SECONDS, Double.toString(seconds), "1 to 86400");
    }
    if (!(load > 0 && load <= MOST_LOAD)) {
      throw new UsageException(LOAD, Double.toString(load), "more than 0 and at most 10");
    }
    return new WorkloadDefinition(
        mix(),
        Choice.of(SHAPE, shape, ArrivalShape.values(), ArrivalShape::code),
        seed,
        Math.round(seconds * MILLIS_PER_SECOND),
        capacityPerSecond,
        load,
        PromptLengths.assumed());
  }

  /** Whose requests are sent. */
  RequestMix mix() throws UsageException {
    return Choice.of(DEPLOYMENT, deployment, RequestMix.values(), RequestMix::code);
  }
}
