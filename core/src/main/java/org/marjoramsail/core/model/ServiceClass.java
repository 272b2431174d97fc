package org.marjoramsail.core.model;

/** How urgent a rule makes its requests, and what that means for their order of service. */
public enum ServiceClass {
  /** A person or a queue waits for it: status and date lookups. */
  QUICK(0, false),
  /** Ballots, filings and everything without a rule of its own. */
  STANDARD(1, false),
  /** May wait until its deadline: summaries. */
  DEFERRABLE(2, true),
  /**
   * Wants its target and is still worth an answer after it: served in time while that can be, and
   * behind everything else until its deadline once it is late.
   */
  TIMELY(3, false);

  private final int rank;
  private final boolean mayWait;

  ServiceClass(int rank, boolean mayWait) {
    this.rank = rank;
    this.mayWait = mayWait;
  }

  /** Zero for the most urgent. Engines get it as their priority. */
  public int rank() {
    return rank;
  }

  /** Whether an answer is still wanted after the target was missed. */
  public boolean isUsefulAfterTarget() {
    return this == TIMELY;
  }

  /** Whether its target is its deadline rather than the time to the first token. */
  public boolean mayWait() {
    return mayWait;
  }
}
