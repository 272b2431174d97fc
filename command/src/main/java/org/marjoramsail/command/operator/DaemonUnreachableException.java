package org.marjoramsail.command.operator;

import org.marjoramsail.core.failure.MarjoramsailException;

/** A daemon that did not answer; whether it did what it was told is not known. */
public final class DaemonUnreachableException extends MarjoramsailException {

  private static final long serialVersionUID = 1L;

  private final String server;

  /** Creates an instance with where the daemon was looked for and what went wrong. */
  public DaemonUnreachableException(String server, String detail, Throwable cause) {
    super("No answer from " + server + ": " + detail, cause);
    this.server = server;
  }

  /** Where the daemon was looked for. */
  public String server() {
    return server;
  }
}
