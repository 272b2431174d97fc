package org.marjoramsail.command.capacity;

import org.marjoramsail.core.failure.MarjoramsailException;

/** A measurement that could not be made, read or written. */
public final class CapacityException extends MarjoramsailException {

  private static final long serialVersionUID = 1L;

  private final String phase;

  /**
   * Creates an instance with what failed.
   *
   * @param phase what was being done
   */
  public CapacityException(String phase, Throwable cause) {
    super("The measurement failed to %s: %s".formatted(phase, cause.getMessage()), cause);
    this.phase = phase;
  }

  /** What was being done. */
  public String phase() {
    return phase;
  }
}
