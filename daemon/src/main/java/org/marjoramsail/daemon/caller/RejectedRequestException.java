package org.marjoramsail.daemon.caller;

import org.marjoramsail.core.failure.MarjoramsailException;
import org.marjoramsail.core.failure.Refusal;
import org.marjoramsail.core.failure.RefusalReason;

/** Thrown when a request is refused before it is registered; the request was not run. */
final class RejectedRequestException extends MarjoramsailException {

  private static final long serialVersionUID = 1L;

  private final transient Refusal refusal;

  RejectedRequestException(RefusalReason reason, String detail) {
    super(detail);
    this.refusal = Refusal.notRun(reason, detail);
  }

  Refusal refusal() {
    return refusal;
  }
}
