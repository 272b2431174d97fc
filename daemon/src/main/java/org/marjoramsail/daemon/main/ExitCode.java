package org.marjoramsail.daemon.main;

/** How the daemon's process ends. */
public enum ExitCode {
  /** Stopped after a signal with nothing lost, or did what was asked. */
  OK(0, "stopped with nothing lost, or did what was asked"),
  /** Failed for a reason of its own. */
  FAILURE(1, "failed for a reason that the log names"),
  /** The command line cannot be understood. */
  USAGE(2, "the command line cannot be understood"),
  /** The settings cannot be used. */
  SETTINGS(3, "the settings cannot be used; each fault is printed"),
  /** Something outside is not there or not free. */
  UNAVAILABLE(4, "an address to listen on or another resource is not available"),
  /** A second signal ended the stop before running requests had ended. */
  STOPPED_AT_ONCE(5, "a second signal cut the stop short; the log names what was lost"),
  /** The time for a stop passed before all requests had ended. */
  STOPPED_LATE(6, "the time for a stop passed; the log names what was lost");

  private final int code;
  private final String meaning;

  ExitCode(int code, String meaning) {
    this.code = code;
    this.meaning = meaning;
  }

  /** The number that the process returns. */
  public int code() {
    return code;
  }

  /** What the number tells, as the help says it. */
  public String meaning() {
    return meaning;
  }
}
