package org.marjoramsail.core.failure;

/** Base class of the project's checked exceptions; each subclass carries the object that failed. */
public abstract class MarjoramsailException extends Exception {

  private static final long serialVersionUID = 1L;

  /**
   * Creates an instance with a message that quotes the invalid input and states what is allowed.
   */
  protected MarjoramsailException(String message) {
    super(message);
  }

  /** Creates an instance with a message and the cause of the failure. */
  protected MarjoramsailException(String message, Throwable cause) {
    super(message, cause);
  }
}
