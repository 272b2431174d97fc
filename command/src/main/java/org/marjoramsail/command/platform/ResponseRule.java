package org.marjoramsail.command.platform;

import java.util.Locale;

/** Rules on the responses that callers receive. */
public enum ResponseRule {
  /** A success bears the proof of a visit. */
  SUCCESS_WITHOUT_VISIT,
  /** A success belongs to the request of its caller. */
  SUCCESS_OF_ANOTHER_REQUEST,
  /** A success is that of a visit in which the server responded with a success. */
  SUCCESS_OF_FAILED_VISIT,
  /** A complete response has the whole body of its visit; a broken one has only a part of it. */
  BODY_NOT_WHOLE,
  /** A failure with a proof has the status that the server gave. */
  FAILURE_WITH_OTHER_STATUS,
  /** A failure belongs to the request of its caller. */
  FAILURE_OF_ANOTHER_REQUEST,
  /** A request that may run once does not run again. */
  RAN_TWICE,
  /** A request that may run once and is refused as not run has not run. */
  REFUSED_AND_RAN,
  /** A stream has every event once, of one visit or of those at which it was resumed. */
  EVENTS_NOT_IN_ORDER,
  /** A request continues from a prefill of its own. */
  PREFILL_OF_ANOTHER_REQUEST,
  /** A request that arrives at a server is one that a caller sent, and no part of a body. */
  BODY_TAKEN_FOR_REQUEST,
  /** A request that arrives at a server has the body that its caller sent. */
  REQUEST_WITH_OTHER_BYTES;

  /** Returns the name by which reports call it. */
  public String code() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
