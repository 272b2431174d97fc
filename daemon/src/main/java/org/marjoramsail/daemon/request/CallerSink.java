package org.marjoramsail.daemon.request;

import org.marjoramsail.core.failure.Refusal;
import org.marjoramsail.core.outcome.Completion;
import org.marjoramsail.daemon.upstream.PlainResponse;

/** Receives the output of a request; called in order, on the executor of the request. */
public interface CallerSink {

  /**
   * Sends the next token to the caller.
   *
   * @param attempt the attempt that gave it
   */
  void token(int attempt, int index, String text);

  /** Ends the output after its last token. */
  void complete(Completion completion);

  /** Sends the response of a plain service to the caller. */
  void respond(PlainResponse response);

  /** Ends the request with a refusal, possibly after a part of the output. */
  void refuse(Refusal refusal);
}
