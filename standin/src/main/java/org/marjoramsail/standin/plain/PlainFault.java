package org.marjoramsail.standin.plain;

/** What goes wrong with one request. */
public enum PlainFault {
  /** The process dies before it runs the request. */
  CRASH_BEFORE_RUN(false, true),
  /** The process dies when it has run the request and before it answers. */
  CRASH_AFTER_RUN(true, true),
  /** The request runs and only its connection is cut before the answer. */
  ANSWER_LOST(true, false);

  private final boolean running;
  private final boolean crashing;

  PlainFault(boolean running, boolean crashing) {
    this.running = running;
    this.crashing = crashing;
  }

  /** Whether the request takes effect. */
  boolean isRunning() {
    return running;
  }

  /** Whether the whole service goes down. */
  boolean isCrashing() {
    return crashing;
  }
}
