package org.marjoramsail.core.discovery;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.marjoramsail.core.model.UpstreamName;

/**
 * Decides which upstreams this daemon does not reach, and whether it is cut off from all of them,
 * from the connections that it opens and the responses that it receives.
 *
 * <p>An upstream is not reached from a connection to it that fails to one that succeeds. The daemon
 * is cut off once connections to several upstreams have failed in a row and no upstream has sent
 * anything for some time: upstreams seldom fail together. Not safe for several threads.
 */
public final class UpstreamReachability {

  /** Number of upstreams that have to fail in a row; all of them where there are fewer. */
  private static final int FAILING_UPSTREAMS = 3;

  /** Time without any sign of an upstream after which a daemon may be cut off, in milliseconds. */
  private static final long SILENCE_MILLIS = 500;

  private static final long NEVER = Long.MIN_VALUE / 2;

  private final Map<UpstreamName, Long> connectedAtMillis = new HashMap<>();
  private final Set<UpstreamName> unreached = new HashSet<>();
  private final Set<UpstreamName> failingInARow = new HashSet<>();
  private long receivedAtMillis = NEVER;
  private int upstreams;

  /** Creates an instance for a daemon that knows no upstream. */
  public UpstreamReachability() {}

  /** Returns whether connections to an upstream succeed, as far as is known. */
  public boolean isReached(UpstreamName upstream) {
    return !unreached.contains(upstream);
  }

  /** Returns the upstreams that are not reached. */
  public List<UpstreamName> unreached() {
    return new ArrayList<>(unreached);
  }

  /** Returns whether this daemon is cut off from all upstreams. */
  public boolean isCutOff(long nowMillis) {
    return nowMillis - receivedAtMillis >= SILENCE_MILLIS
        && failingInARow.size() >= Math.max(1, Math.min(FAILING_UPSTREAMS, upstreams));
  }

  /** Replaces the upstreams in use; what is known of others is discarded. */
  public void retainOnly(Collection<UpstreamName> names) {
    upstreams = names.size();
    connectedAtMillis.keySet().retainAll(names);
    unreached.retainAll(names);
    failingInARow.retainAll(names);
  }

  /** Records that an upstream sent something. */
  public void received(long nowMillis) {
    receivedAtMillis = Math.max(receivedAtMillis, nowMillis);
  }

  /**
   * Records that a connection was opened.
   *
   * @param startedAtMillis when it was requested
   * @return whether the upstream was not reached before
   */
  public boolean connected(UpstreamName upstream, long startedAtMillis, long nowMillis) {
    connectedAtMillis.merge(upstream, startedAtMillis, Math::max);
    failingInARow.clear();
    received(nowMillis);
    return unreached.remove(upstream);
  }

  /**
   * Records that a connection could not be opened.
   *
   * @param startedAtMillis when it was requested; a failure of one that was requested before a
   *     successful one says nothing
   * @return whether the upstream was reached before
   */
  public boolean failed(UpstreamName upstream, long startedAtMillis) {
    if (startedAtMillis < connectedAtMillis.getOrDefault(upstream, NEVER)) {
      return false;
    }
    failingInARow.add(upstream);
    return unreached.add(upstream);
  }
}
