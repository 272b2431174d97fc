package org.marjoramsail.daemon.connection;

import java.util.Locale;

/** Rule of RFC 9110 and RFC 9112 for the head of a response; each has its own counter. */
public enum HeadRule {
  /** A response begins with {@code HTTP/1.0} or {@code HTTP/1.1} and a space. */
  VERSION,
  /** The status is a number of three digits from 100 to 599. */
  STATUS,
  /** A reason phrase has no control bytes but tabs. */
  REASON_PHRASE,
  /** The name of a field consists of token characters, and a colon follows it directly. */
  FIELD_NAME,
  /** The value of a field has no control bytes but tabs. */
  FIELD_VALUE,
  /** A line ends with a carriage return and a line feed. */
  LINE_END,
  /** The end of the body is stated once: by a length, or by the coding {@code chunked} alone. */
  FRAMING;

  /** Returns the name in logs and metrics. */
  public String code() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
