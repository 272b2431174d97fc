package org.marjoramsail.core.outcome;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Stores the prompt parts with which a request gave output recently; the oldest is removed first.
 */
final class ClearedParts {

  private final long lifetimeMillis;
  private final int maximumEntries;
  private final Map<PartKey, Long> clearedAtMillis = new LinkedHashMap<>();

  /**
   * Creates an empty store.
   *
   * @param lifetimeMillis time for which a part stays cleared after an output
   * @param maximumEntries maximum number of parts, which bounds the memory
   */
  ClearedParts(long lifetimeMillis, int maximumEntries) {
    this.lifetimeMillis = lifetimeMillis;
    this.maximumEntries = maximumEntries;
  }

  void add(PartKey part, long nowMillis) {
    clearedAtMillis.remove(part);
    clearedAtMillis.put(part, nowMillis);
    if (clearedAtMillis.size() > maximumEntries) {
      Iterator<PartKey> oldest = clearedAtMillis.keySet().iterator();
      oldest.next();
      oldest.remove();
    }
  }

  boolean contains(PartKey part, long nowMillis) {
    Long at = clearedAtMillis.get(part);
    return at != null && nowMillis - at < lifetimeMillis;
  }
}
