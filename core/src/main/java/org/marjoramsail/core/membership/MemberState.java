package org.marjoramsail.core.membership;

/** State of a daemon as observed by another daemon. */
public enum MemberState {
  /** The daemon responds, directly or to other daemons. */
  ALIVE(true, true),
  /** The daemon did not respond and will be declared dead unless it refutes the suspicion. */
  SUSPECT(true, true),
  /** The daemon announced its departure; it completes its work and takes over no shards. */
  LEAVING(true, false),
  /** The whole region of the daemon is unreachable; the daemon may be serving there. */
  UNREACHABLE(false, false),
  /** The daemon did not refute a suspicion before its timeout. */
  DEAD(false, false),
  /** The daemon has completed its planned departure. */
  LEFT(false, false);

  private final boolean reachable;
  private final boolean eligible;

  MemberState(boolean reachable, boolean eligible) {
    this.reachable = reachable;
    this.eligible = eligible;
  }

  /** Returns whether messages should be sent to the daemon. */
  public boolean isReachable() {
    return reachable;
  }

  /** Returns whether the daemon may own shards. */
  public boolean isEligible() {
    return eligible;
  }
}
