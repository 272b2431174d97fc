package org.marjoramsail.core.membership;

/** What this daemon believes of another. */
public enum MemberState {
  /** Answers, directly or by way of others. */
  ALIVE(true, true),
  /** Did not answer; dead unless it refutes this in time. */
  SUSPECT(true, true),
  /** Said that it is leaving; serves what it has and takes over nothing. */
  LEAVING(true, false),
  /** Runs in a region that does not answer at all; it may well be serving there. */
  UNREACHABLE(false, false),
  /** Did not refute a suspicion in time. */
  DEAD(false, false),
  /** Has left of its own will. */
  LEFT(false, false);

  private final boolean reachable;
  private final boolean eligible;

  MemberState(boolean reachable, boolean eligible) {
    this.reachable = reachable;
    this.eligible = eligible;
  }

  /** Whether it makes sense to send it messages. */
  public boolean isReachable() {
    return reachable;
  }

  /** Whether it may own shards. */
  public boolean isEligible() {
    return eligible;
  }
}
