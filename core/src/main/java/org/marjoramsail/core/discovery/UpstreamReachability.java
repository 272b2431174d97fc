package org.marjoramsail.core.discovery;

import java.util.HashSet;
import java.util.Set;
import org.marjoramsail.core.model.UpstreamName;

/**
 * Decides whether this daemon is cut off from all upstreams, from the connections that it opens.
 *
 * <p>It is cut off once connections to several upstreams have failed in a row, whatever their
 * reason: upstreams seldom fail together, and another daemon finds out whether they did. One
 * connection that succeeds ends this. Not safe for several threads.
 */
public final class UpstreamReachability {

  /** Number of upstreams that have to fail in a row; all of them where there are fewer. */
  private static final int FAILING_UPSTREAMS = 3;

  private static final long NEVER = Long.MIN_VALUE;

  private final Set<UpstreamName> failing = new HashSet<>();
  private long reachedAtMillis = NEVER;
  private boolean cutOff;

  /** Creates an instance for a daemon that reaches its upstreams. */
  public UpstreamReachability() {}

  /** Returns whether this daemon is cut off from all upstreams. */
  public boolean isCutOff() {
    return cutOff;
  }

  /** Returns whether some connections have failed since the last that succeeded. */
  public boolean isInDoubt() {
    return !failing.isEmpty();
  }

  /** Returns whether a connection to an upstream has failed since the last that succeeded. */
  public boolean hasFailed(UpstreamName upstream) {
    return failing.contains(upstream);
  }

  /**
   * Records that a connection was opened.
   *
   * @param startedAtMillis when it was requested
   */
  public void connected(long startedAtMillis) {
    reachedAtMillis = Math.max(reachedAtMillis, startedAtMillis);
    failing.clear();
    cutOff = false;
  }

  /**
   * Records that a connection could not be opened.
   *
   * @param startedAtMillis when it was requested; a failure of one that was requested before a
   *     successful one says nothing
   * @param upstreams number of upstreams in use
   */
  public void failed(UpstreamName upstream, long startedAtMillis, int upstreams) {
    if (startedAtMillis < reachedAtMillis) {
      return;
    }
    failing.add(upstream);
    cutOff |= failing.size() >= Math.max(1, Math.min(FAILING_UPSTREAMS, upstreams));
  }
}
