package org.marjoramsail.daemon.forward;

import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;

/**
 * Parameters of a request that its caller sends in headers.
 *
 * @param attempt the caller's identifier of this attempt; empty if the caller sends none
 * @param timeoutMillis how long the caller waits for a response, in milliseconds; absent if the
 *     caller does not say
 * @param promptTokens length of the prompt in tokens; zero for a plain request
 * @param outputTokens maximum number of generated tokens; zero for a plain request
 * @param expectedTokens number of tokens that the caller expects to be generated
 * @param resumeAfter id of the last event that the caller received from a broken stream, if any
 * @param resumes identifier of the attempt that brought the first event of the broken stream; empty
 *     if the caller names none
 * @param sharedPromptParts identifiers of the parts of its prompt that other requests may share, in
 *     order, each once
 * @param key API key that identifies the organisation of the caller; empty if the caller sends none
 */
public record CallerParameters(
    String attempt,
    OptionalLong timeoutMillis,
    int promptTokens,
    int outputTokens,
    OptionalInt expectedTokens,
    OptionalInt resumeAfter,
    Optional<String> resumes,
    List<String> sharedPromptParts,
    Optional<String> key) {

  /** Copies the list, so that the record is immutable. */
  public CallerParameters {
    sharedPromptParts = List.copyOf(sharedPromptParts);
  }

  /** Returns a text without the key, which must not appear in logs. */
  @Override
  public String toString() {
    return "attempt " + attempt + ", prompt " + promptTokens + ", output " + outputTokens;
  }
}
