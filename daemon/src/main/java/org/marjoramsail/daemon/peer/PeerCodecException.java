package org.marjoramsail.daemon.peer;

import org.marjoramsail.core.failure.MarjoramsailException;

/** Bytes that are no message of this protocol, or a message that has no bytes. */
public final class PeerCodecException extends MarjoramsailException {

  private static final long serialVersionUID = 1L;

  /** What is wrong with it. */
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

  /** What is wrong. */
  public Fault fault() {
    return fault;
  }

  /** How many bytes the body had. */
  public int length() {
    return length;
  }
}
