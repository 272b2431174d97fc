package org.marjoramsail.standin.load;

import java.util.Optional;

/**
 * What came of one planned request. All times are in milliseconds after the planned time, so that a
 * sender that falls behind shows as latency.
 *
 * @param request what was sent
 * @param end how it ended
 * @param reason the typed reason of a refusal or failure
 * @param run what the refusal or failure says of whether the request ran
 * @param requestId the identifier that the daemon gave it
 * @param target the name of the target that it was sent to last
 * @param sentMillis when it was sent
 * @param firstTokenMillis when its first token came; absent without one
 * @param endMillis when it ended
 * @param tokens how many right tokens came
 * @param detail what was seen, where the end is a violation
 */
public record RequestOutcome(
    PlannedRequest request,
    RequestEnd end,
    Optional<String> reason,
    Optional<String> run,
    Optional<String> requestId,
    Optional<String> target,
    long sentMillis,
    Optional<Long> firstTokenMillis,
    long endMillis,
    int tokens,
    String detail) {

  private static final String NOT_RUN = "not-run";

  /** The same with another end, for a judge who knows more than the caller. */
  public RequestOutcome withEnd(RequestEnd other) {
    return new RequestOutcome(
        request,
        other,
        reason,
        run,
        requestId,
        target,
        sentMillis,
        firstTokenMillis,
        endMillis,
        tokens,
        detail);
  }

  /** Whether the caller was told that the request was not run. */
  public boolean isToldNotRun() {
    return run.filter(NOT_RUN::equals).isPresent();
  }

  /** Whether its answer came whole and within its targets. */
  public boolean isWithinTargets() {
    return end == RequestEnd.COMPLETED && isFirstInTime() && isPaceKept();
  }

  /** The mean time between its tokens in milliseconds; zero for fewer than two. */
  public double meanTokenGapMillis() {
    if (tokens < 2 || firstTokenMillis.isEmpty()) {
      return 0;
    }
    return (endMillis - firstTokenMillis.get()) / (double) (tokens - 1);
  }

  private boolean isFirstInTime() {
    if (request.kind().serviceClass().mayWait()) {
      return endMillis <= request.deadlineMillis();
    }
    return firstTokenMillis.orElse(endMillis) <= request.kind().firstTokenTargetMillis();
  }

  private boolean isPaceKept() {
    return !request.streamed() || meanTokenGapMillis() <= request.kind().perTokenTargetMillis();
  }
}
