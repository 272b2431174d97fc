package org.marjoramsail.core.failure;

/** The knowledge of whether a request without a response was run. */
public enum RunState {
  /**
   * The request is proven not to have run: it was never sent, or the upstream responded that it did
   * not run it.
   */
  NOT_RUN("not-run"),
  /** The request ran before, and its response went to the caller that sent it then. */
  RAN("ran"),
  /** The request was sent, and it is not known whether it ran. */
  UNKNOWN("unknown");

  private final String code;

  RunState(String code) {
    this.code = code;
  }

  /** Returns the code that callers see. */
  public String code() {
    return code;
  }
}
