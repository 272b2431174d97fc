package org.marjoramsail.daemon.upstream;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import java.util.List;
import org.marjoramsail.core.model.RequestId;

/**
 * What an engine holds.
 *
 * @param incarnation the run of the engine
 * @param attempts what it holds
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
   * @param request whose
   * @param attempt which attempt
   * @param daemon host name of the daemon that sent it
   * @param incarnation run of that daemon
   * @param phase what the engine does with it, in its words
   */
  @JsonIgnoreProperties(ignoreUnknown = true)
  public record HeldAttempt(
      RequestId request, int attempt, String daemon, long incarnation, String phase) {}
}
