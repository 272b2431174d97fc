package org.marjoramsail.command.platform;

import java.util.Locale;

/** Why a caller of a soak got no response. */
public enum LossReason {
  /** No daemon ran. */
  NO_DAEMON,
  /** The daemon was killed, stopped, paused or started shortly before. */
  DAEMON_DISTURBED,
  /** The daemon was not disturbed and closed the connection, or did not respond in time. */
  DAEMON_CALM;

  /** Returns the name by which reports call it. */
  public String code() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
