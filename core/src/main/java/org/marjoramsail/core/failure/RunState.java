package org.marjoramsail.core.failure;

/** What is known of whether a request that has no answer was run. */
public enum RunState {
  /** Proven: it was never sent, or the upstream said that it did not run it. */
  NOT_RUN("not-run"),
  /** It ran before, and its answer went to whoever sent it then. */
  RAN("ran"),
  /** It was sent, and nothing tells whether it ran. */
  UNKNOWN("unknown");

  private final String code;

  RunState(String code) {
    this.code = code;
  }

  /** The word that callers see. */
  public String code() {
    return code;
  }
}
