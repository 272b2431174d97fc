package org.marjoramsail.daemon.upstream;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import java.util.List;
import org.marjoramsail.core.model.RequestId;

/**
 * Attempts that an engine holds, as it reports them.
 *
 * @param incarnation incarnation of the engine
 * @param attempts the attempts
 */
@JsonIgnoreProperties(ignoreUnknown = true)
public record AttemptList(long incarnation, List<HeldAttempt> attempts) {

  /** Copies the list, so that the value cannot change. */
  public AttemptList {
    attempts = attempts == null ? List.of() : List.copyOf(attempts);
  }

  /**
   * One attempt that an engine holds.
   *
   * @param request identifier of the request
   * @param attempt number of the attempt
   * @param daemon host name of the daemon that sent it
   * @param incarnation incarnation of that daemon
   * @param phase current phase, as the engine names it
   */
  @JsonIgnoreProperties(ignoreUnknown = true)
  public record HeldAttempt(
      RequestId request, int attempt, String daemon, long incarnation, String phase) {}
}
