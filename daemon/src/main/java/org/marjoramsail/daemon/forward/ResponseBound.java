package org.marjoramsail.daemon.forward;

import java.util.Locale;

/** A bound on the responses of upstreams; each has its own counter. */
public enum ResponseBound {
  /** Size of a head, of the line of a chunk, or of the trailers. */
  HEAD_BYTES,
  /** Number of headers. */
  HEADERS,
  /** Number of interim responses before the response. */
  INTERIM_RESPONSES,
  /** Size of a body that is buffered. */
  BODY_BYTES,
  /** Size of all bodies that are buffered at the same time. */
  BUFFERED_BYTES,
  /** Size of one event of a stream. */
  EVENT_BYTES;

  /** Returns the name in metrics. */
  public String code() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
