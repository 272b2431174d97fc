package org.marjoramsail.daemon.request;

/** Tells whether a caller still waits for its response. */
@FunctionalInterface
public interface CallerPresence {

  /** A caller that never leaves. */
  CallerPresence ALWAYS = () -> true;

  /**
   * Returns whether the caller has neither closed its connection nor cancelled the request, as far
   * as this host can know now; called on the executor of the request.
   */
  boolean isPresent();
}
