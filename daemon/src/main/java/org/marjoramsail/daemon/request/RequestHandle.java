package org.marjoramsail.daemon.request;

import org.marjoramsail.core.failure.Refusal;

/** The caller's side of a registered request. */
public interface RequestHandle {

  /** Tells that the caller has closed its connection. */
  void callerDisconnected();

  /** Ends the request from the caller's side, for instance since it reads too slowly. */
  void end(Refusal refusal);
}
