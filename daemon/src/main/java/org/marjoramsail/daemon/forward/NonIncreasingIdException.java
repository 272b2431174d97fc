package org.marjoramsail.daemon.forward;

import org.marjoramsail.core.failure.MarjoramsailException;

/** An event of a stream whose id does not exceed that of the event before it. */
final class NonIncreasingIdException extends MarjoramsailException {

  private static final long serialVersionUID = 1L;

  /** Creates the exception with both ids. */
  NonIncreasingIdException(int id, int before) {
    super("Event id " + id + " follows id " + before + "; ids of a stream must increase.");
  }
}
