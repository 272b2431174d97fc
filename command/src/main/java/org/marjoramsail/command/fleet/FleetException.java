package org.marjoramsail.command.fleet;

import org.marjoramsail.core.failure.MarjoramsailException;

/** A local fleet that could not start, run or stop. */
public final class FleetException extends MarjoramsailException {

  private static final long serialVersionUID = 1L;

  private final String phase;

  /**
   * Creates an instance with what failed.
   *
   * @param phase what the fleet was doing
   */
  public FleetException(String phase, Throwable cause) {
    super("The local fleet failed to %s: %s".formatted(phase, cause.getMessage()), cause);
    this.phase = phase;
  }

  /** What the fleet was doing. */
  public String phase() {
    return phase;
  }
}
