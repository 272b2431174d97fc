package org.marjoramsail.daemon.main;

import org.marjoramsail.core.failure.MarjoramsailException;

/** A daemon that could not start. */
public final class LaunchException extends MarjoramsailException {

  private static final long serialVersionUID = 1L;

  /** What stood in the way. */
  public enum Failure {
    /** An address to listen on is taken or not one of this host. */
    ADDRESS(ExitCode.UNAVAILABLE),
    /** A certificate or a key cannot be used. */
    ENCRYPTION(ExitCode.SETTINGS),
    /** A value that only a part of the daemon can check. */
    SETTINGS(ExitCode.SETTINGS),
    /** A fault of the program. */
    INTERNAL(ExitCode.FAILURE);

    private final ExitCode exitCode;

    Failure(ExitCode exitCode) {
      this.exitCode = exitCode;
    }

    /** How the process ends after such a failure. */
    public ExitCode exitCode() {
      return exitCode;
    }
  }

  private final Failure failure;
  private final String subject;

  /**
   * Creates an instance with what failed.
   *
   * @param subject the address, file or part that failed
   * @param detail a sentence that says what is needed
   */
  public LaunchException(Failure failure, String subject, String detail, Throwable cause) {
    super(subject + ": " + detail, cause);
    this.failure = failure;
    this.subject = subject;
  }

  /** What stood in the way. */
  public Failure failure() {
    return failure;
  }

  /** The address, file or part that failed. */
  public String subject() {
    return subject;
  }
}
