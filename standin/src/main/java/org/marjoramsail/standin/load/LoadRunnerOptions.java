package org.marjoramsail.standin.load;

/**
 * How a workload is sent.
 *
 * @param lanes how many event loops send
 * @param startAfterMillis how long after the call the run's time begins
 * @param graceMillis how long after its deadline a request counts as lost
 * @param connections how many connections each lane opens to one target at most
 */
public record LoadRunnerOptions(
    int lanes, long startAfterMillis, long graceMillis, int connections) {

  /** Enough for some thousand requests a second on one machine. */
  public static LoadRunnerOptions standard() {
    return new LoadRunnerOptions(2, 100, 3_000, 1_000);
  }
}
