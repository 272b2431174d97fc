package org.marjoramsail.daemon.settings;

import org.marjoramsail.core.failure.MarjoramsailException;

/** Settings that the quick decoder does not vouch for; the schema finds out what is wrong. */
final class UnclearSettingsException extends MarjoramsailException {

  private static final long serialVersionUID = 1L;

  UnclearSettingsException() {
    super("The settings need a look by the schema.");
  }
}
