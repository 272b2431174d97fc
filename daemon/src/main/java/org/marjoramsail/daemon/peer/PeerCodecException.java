package org.marjoramsail.daemon.peer;

import org.marjoramsail.core.failure.MarjoramsailException;

/** Thrown when a body cannot be decoded as a message, or a message cannot be encoded. */
public final class PeerCodecException extends MarjoramsailException {

  private static final long serialVersionUID = 1L;

  /** Kind of failure. */
  public enum Fault {
    EMPTY,
    TOO_LARGE,
    NOT_MESSAGE_PACK,
    NOT_A_MESSAGE,
    UNKNOWN_TYPE,
    OTHER_FIELDS,
    NOT_ENCODABLE
  }

  private final Fault fault;
  private final int length;

  PeerCodecException(Fault fault, int length, String detail) {
    super(fault + " in a body of " + length + " bytes: " + detail);
    this.fault = fault;
    this.length = length;
  }

  PeerCodecException(Fault fault, int length, String detail, Throwable cause) {
    super(fault + " in a body of " + length + " bytes: " + detail, cause);
    this.fault = fault;
    this.length = length;
  }

  /** Returns the kind of failure. */
  public Fault fault() {
    return fault;
  }

  /** Returns the length of the body in bytes; zero if there is none. */
  public int length() {
    return length;
  }
}
