package org.marjoramsail.core.placement;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Knows callers again that were told to come back, by the content of what they send.
 *
 * <p>Guards against the failure in which a caller waits as it was told, comes back into the same
 * burst and is refused for good: who comes back has its place before all others that are late.
 *
 * <p>It has none before those that can still be in time. Its own answer is late already, and each
 * that it overtook would be late as well and told to come back in turn: after a burst of five
 * seconds none of two thousand requests were in time for as long as a service had a fifth to spare,
 * where now all are (model of three servers, PlainOverloadTest).
 */
final class RetryingCallers {

  /** Callers that have not come back by then do not, milliseconds. */
  private static final long RETENTION_MILLIS = 12_000;

  private static final int MAXIMUM_CALLERS = 4_096;
  private static final long NO_CONTENT = 0;

  private final Map<Long, Long> untilMillis = new LinkedHashMap<>();

  /** Records that a caller was told to come back. */
  void recordRefusal(long content, long nowMillis) {
    if (content == NO_CONTENT) {
      return;
    }
    untilMillis.remove(content);
    untilMillis.put(content, nowMillis + RETENTION_MILLIS);
    Iterator<Long> oldest = untilMillis.values().iterator();
    while (oldest.hasNext()
        && (oldest.next() <= nowMillis || untilMillis.size() > MAXIMUM_CALLERS)) {
      oldest.remove();
    }
  }

  /** Whether a caller comes back; true once for each time that it was told to. */
  boolean isExpectedRetry(long content, long nowMillis) {
    Long until = untilMillis.remove(content);
    return until != null && nowMillis < until;
  }
}
