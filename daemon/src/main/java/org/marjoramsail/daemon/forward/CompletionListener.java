package org.marjoramsail.daemon.forward;

import org.marjoramsail.core.outcome.RequestProfile;

/** Receives the output length of each completed stream, from which output lengths are predicted. */
@FunctionalInterface
public interface CompletionListener {

  /**
   * Handles the end of a complete stream.
   *
   * @param profile the request
   * @param maximumTokens maximum number of tokens that the request allowed
   * @param eventCount number of events in the stream
   */
  void completed(RequestProfile profile, int maximumTokens, int eventCount);
}
