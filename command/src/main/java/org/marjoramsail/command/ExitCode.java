package org.marjoramsail.command;

/** How the process ends. */
public enum ExitCode {
  OK(0, "done; for runs: every invariant held"),
  FAILURE(1, "failed for a reason that is printed"),
  USAGE(2, "the command line cannot be understood"),
  BROKEN_INVARIANT(3, "a request was lost, answered twice, answered wrongly or run twice"),
  UNAVAILABLE(4, "a daemon does not answer, or an address is not free"),
  REFUSED(5, "the daemon refused the statement"),
  WARNINGS(6, "check: there are warnings and no errors"),
  ERRORS(7, "check: there are errors"),
  UNREADABLE(8, "check: a configuration cannot be read");

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
