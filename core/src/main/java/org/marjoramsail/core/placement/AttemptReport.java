package org.marjoramsail.core.placement;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.Optional;
import org.marjoramsail.core.model.RequestId;
import org.marjoramsail.core.model.UpstreamName;

/**
 * What an entry daemon tells the owner of a granted attempt: its progress or its end.
 *
 * @param request the request
 * @param attempt the attempt
 * @param phase how far it has come
 * @param result present when {@code phase} is {@code ENDED}
 * @param failedUpstream the upstream to which a failure belongs
 * @param cachedPromptTokens how much of the prompt the upstream had in its cache, once known
 * @param tookMillis how long the phase that just ended took; zero when it is not known
 * @param outputTokens tokens generated so far
 * @param longestPauseMillis the longest pause between two pieces so far; zero where it is not known
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

  /** A report without pauses. */
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
}
