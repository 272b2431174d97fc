package org.marjoramsail.command.check;

import org.marjoramsail.core.failure.MarjoramsailException;

/** A configuration that cannot be read. */
public final class UnreadableConfigurationException extends MarjoramsailException {

  private static final long serialVersionUID = 1L;

  private final String reason;

  UnreadableConfigurationException(String source, String reason) {
    super(source + ": " + reason);
    this.reason = reason;
  }

  /** Returns why it cannot be read. */
  public String reason() {
    return reason;
  }
}
