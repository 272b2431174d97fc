package org.marjoramsail.daemon.forward;

import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;

/**
 * What a caller says of its request.
 *
 * @param attempt the caller's own identifier of this try; empty text when it gives none
 * @param timeoutMillis how long the caller will wait; absent when it does not say
 * @param promptTokens length of its prompt; zero for a plain request
 * @param outputTokens how many tokens it generates at most; zero for a plain request
 * @param expectedTokens how many tokens the caller expects to be generated
 * @param resumeAfter the last event that the caller has of a broken stream; zero for none
 * @param key what proves of which organisation the caller is; empty when it shows none
 */
public record CallerParameters(
    String attempt,
    OptionalLong timeoutMillis,
    int promptTokens,
    int outputTokens,
    OptionalInt expectedTokens,
    int resumeAfter,
    Optional<String> key) {

  /** Leaves out the key, which no line of a log may hold. */
  @Override
  public String toString() {
    return "attempt " + attempt + ", prompt " + promptTokens + ", output " + outputTokens;
  }
}
