package org.marjoramsail.core.model;

/** Urgency class of requests, which determines their order of service. */
public enum ServiceClass {
  /** A person or a queue waits for the response, as for status and date lookups. */
  QUICK(0, false),
  /** Ballots, filings and all requests without a rule of their own. */
  STANDARD(1, false),
  /** May wait until its deadline, as summaries do. */
  DEFERRABLE(2, true),
  /**
   * Requires a response before its target and still has a use for one after it. It is served before
   * its target while that is possible; after the target it is served behind all other requests
   * until its deadline.
   */
  TIMELY(3, false);

  private final int rank;
  private final boolean mayWait;

  ServiceClass(int rank, boolean mayWait) {
    this.rank = rank;
    this.mayWait = mayWait;
  }

  /** Returns the rank, zero for the most urgent; engines receive it as their priority. */
  public int rank() {
    return rank;
  }

  /** Returns whether a response is still useful after the target was missed. */
  public boolean isUsefulAfterTarget() {
    return this == TIMELY;
  }

  /** Returns whether its target is its deadline rather than the time to the first token. */
  public boolean mayWait() {
    return mayWait;
  }
}
