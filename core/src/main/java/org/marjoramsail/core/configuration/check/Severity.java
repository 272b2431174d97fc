package org.marjoramsail.core.configuration.check;

import java.util.Locale;

/** Severity of a finding, the most severe first. */
public enum Severity {
  /** A daemon refuses the configuration, or requests that it describes cannot be served. */
  ERROR,
  /** A daemon accepts the configuration, which probably does not have the intended effect. */
  WARNING;

  /** Returns the severity in lower case, as it appears to operators. */
  public String code() {
    return name().toLowerCase(Locale.ROOT);
  }
}
