package org.marjoramsail.core.placement;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.Optional;
import org.marjoramsail.core.model.UpstreamName;

/**
 * What the owner expected of the target of a grant, for logs. Only grants whose candidates differ
 * in speed, slowdown or failures have one.
 *
 * @param costMillis expected work of the request on an upstream of normal speed, in milliseconds
 * @param completionMillis expected time from the grant to the completion on the target
 * @param runnerUp the upstream with the second lowest expected completion time, if there was one
 * @param runnerUpMillis expected time to the completion on the runner-up; zero if there was none
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record GrantEstimate(
    long costMillis, long completionMillis, Optional<UpstreamName> runnerUp, long runnerUpMillis) {

  /** Creates an estimate whose runner-up is absent if it is missing in an encoded message. */
  public GrantEstimate {
    runnerUp = runnerUp == null ? Optional.empty() : runnerUp;
  }
}
