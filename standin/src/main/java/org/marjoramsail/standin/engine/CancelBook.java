package org.marjoramsail.standin.engine;

import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * Cancels that came before the attempt that they are for.
 *
 * <p>Guards against a cancel that overtakes its request on another connection: the engine would
 * begin work for a caller who is gone and hold memory until the end. Remembered cancels refuse it.
 */
final class CancelBook {

  private static final int REMEMBERED_CANCELS = 20_000;

  private final Set<AttemptKey> attempts =
      Collections.newSetFromMap(
          new LinkedHashMap<>() {
            @Override
            protected boolean removeEldestEntry(Map.Entry<AttemptKey, Boolean> eldest) {
              return size() > REMEMBERED_CANCELS;
            }
          });
  private final Map<String, Long> daemons = new HashMap<>();

  void cancel(AttemptKey key) {
    attempts.add(key);
  }

  void cancelRuns(String daemon, long throughIncarnation) {
    daemons.merge(daemon, throughIncarnation, Math::max);
  }

  boolean isCancelled(AttemptKey key, Holder holder) {
    return attempts.contains(key)
        || holder.incarnation() <= daemons.getOrDefault(holder.daemon(), Long.MIN_VALUE);
  }
}
