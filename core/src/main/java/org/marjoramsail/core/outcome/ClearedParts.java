package org.marjoramsail.core.outcome;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/** Records which prompt parts have given output lately; the least recent are removed first. */
final class ClearedParts {

  private final long lifetimeMillis;
  private final int maximumEntries;
  private final Map<PartKey, Long> clearedAtMillis = new LinkedHashMap<>();

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
