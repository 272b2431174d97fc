package org.marjoramsail.daemon.request;

import org.marjoramsail.core.failure.Refusal;
import org.marjoramsail.core.outcome.Completion;
import org.marjoramsail.daemon.upstream.PlainResponse;

/** Where a request's answer goes; called on the request's own executor, in order. */
public interface CallerSink {

  /** Handles the next token. */
  void token(int index, String text);

  /** Handles the end of a whole answer. */
  void complete(Completion completion);

  /** Handles the answer of a plain service. */
  void respond(PlainResponse response);

  /** Handles an end without the whole answer. */
  void refuse(Refusal refusal);
}
