package org.marjoramsail.core.outcome;

import java.util.Optional;
import org.marjoramsail.core.model.SoftwareVersion;
import org.marjoramsail.core.model.StreamChunking;

/**
 * Output of one request: the tokens that its caller was sent, and the version that produced them.
 */
final class StreamOutput {

  private final StreamChunking chunking;
  private int tokens;
  private Optional<SoftwareVersion> version;
  private Optional<SoftwareVersion> attemptVersion = Optional.empty();

  /**
   * Starts without output.
   *
   * @param chunking how many generated tokens are sent as one
   * @param requiredVersion the version that began the output that it continues; empty for a new one
   */
  StreamOutput(StreamChunking chunking, Optional<SoftwareVersion> requiredVersion) {
    this.chunking = chunking;
    this.version = requiredVersion;
  }

  /** Returns the number of tokens that the caller was sent, which is the index of the next one. */
  int tokens() {
    return tokens;
  }

  /** Returns the number of generated tokens in what the caller was sent. */
  int generatedTokens() {
    return tokens * chunking.tokens();
  }

  /** Returns the end of the output after the last frame of its upstream. */
  Completion completion(LifecycleEvent.StreamFinished finished) {
    return new Completion(
        finished.finishReason(),
        finished.promptTokens(),
        finished.cachedTokens(),
        tokens,
        finished.trailingText());
  }

  /** Returns the only software version that may produce the next token; empty if any may. */
  Optional<SoftwareVersion> requiredVersion() {
    return version;
  }

  /** Records that another attempt generates. */
  void attemptStarted() {
    attemptVersion = Optional.empty();
  }

  /** Records the software version of the upstream whose tokens are received next. */
  void started(Optional<SoftwareVersion> startedVersion) {
    attemptVersion = startedVersion;
  }

  /** Returns the software version of the upstream whose tokens are received next, if known. */
  Optional<SoftwareVersion> attemptVersion() {
    return attemptVersion;
  }

  /** Returns whether the next token comes from the version that produced the earlier ones. */
  boolean isOfOneVersion() {
    return version.isEmpty() || version.equals(attemptVersion);
  }

  /**
   * Records that the next token is sent to the caller.
   *
   * @return the version of the output, with its first token and if it is known
   */
  Optional<SoftwareVersion> sendToken() {
    boolean isFirst = tokens++ == 0;
    version = version.or(() -> attemptVersion);
    return isFirst ? version : Optional.empty();
  }
}
