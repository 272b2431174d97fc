package org.marjoramsail.core.placement;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Recognises retries of refused requests by a hash of their content.
 *
 * <p>Guards against the failure in which a caller waits for the time that the refusal stated,
 * retries within the same burst and is refused again: a retry is served before all other late
 * attempts.
 *
 * <p>A retry is not served before attempts that can still meet their target: those would become
 * late and retry in turn, so that the backlog would outlast the burst.
 */
final class RetryingCallers {

  /** Time after a refusal for which a retry is recognised. Callers retry sooner or not at all. */
  private static final long RETENTION_MILLIS = 12_000;

  private static final int MAXIMUM_CALLERS = 4_096;
  private static final long NO_CONTENT = 0;

  private final Map<Long, Long> untilMillis = new LinkedHashMap<>();

  /** Records that a request with this content was refused with a time to retry. */
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

  /** Returns whether a request is a retry, and removes the record: true once for each refusal. */
  boolean isExpectedRetry(long content, long nowMillis) {
    Long until = untilMillis.remove(content);
    return until != null && nowMillis < until;
  }
}
