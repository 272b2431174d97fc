package org.marjoramsail.core.placement;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.Optional;
import org.marjoramsail.core.model.RequestId;
import org.marjoramsail.core.model.UpstreamName;

/**
 * Report of an entry daemon to the owner of a granted attempt on its progress or its end.
 *
 * @param request the request
 * @param attempt the attempt
 * @param phase the phase that the attempt has reached
 * @param result present when {@code phase} is {@code ENDED}, and when an upstream makes no progress
 *     on an attempt that still runs
 * @param failedUpstream the upstream to which a failure is attributed
 * @param cachedPromptTokens the number of prompt tokens found in the upstream's cache, once known
 * @param tookMillis the duration of the phase that just ended; zero when it is not known
 * @param outputTokens the number of tokens generated so far
 * @param longestPauseMillis the longest pause between two chunks so far; zero where it is not known
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record AttemptReport(
    RequestId request,
    int attempt,
    AttemptPhase phase,
    Optional<AttemptResult> result,
    Optional<UpstreamName> failedUpstream,
    int cachedPromptTokens,
    long tookMillis,
    int outputTokens,
    long longestPauseMillis) {

  /** Creates a report without a pause. */
  public AttemptReport(
      RequestId request,
      int attempt,
      AttemptPhase phase,
      Optional<AttemptResult> result,
      Optional<UpstreamName> failedUpstream,
      int cachedPromptTokens,
      long tookMillis,
      int outputTokens) {
    this(
        request,
        attempt,
        phase,
        result,
        failedUpstream,
        cachedPromptTokens,
        tookMillis,
        outputTokens,
        0);
  }

  /** Returns this report, as cancelled if it would count against an upstream. */
  public AttemptReport withoutUpstreamFault() {
    if (result.filter(AttemptResult::isUpstreamFault).isEmpty()) {
      return this;
    }
    return new AttemptReport(
        request,
        attempt,
        phase,
        Optional.of(AttemptResult.CANCELLED),
        Optional.empty(),
        cachedPromptTokens,
        tookMillis,
        outputTokens,
        longestPauseMillis);
  }
}
