package org.marjoramsail.daemon.request;

import org.marjoramsail.core.failure.Refusal;

/** Reports events of the caller's side to a registered request. */
public interface RequestHandle {

  /** Reports that the caller has closed its connection. */
  void callerDisconnected();

  /** Ends the request from the caller's side, for instance because the caller reads too slowly. */
  void end(Refusal refusal);
}
