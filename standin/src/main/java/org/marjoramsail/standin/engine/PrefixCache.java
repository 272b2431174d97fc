package org.marjoramsail.standin.engine;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Blocks of prompts whose KV cache the engine still has; the least recently used one goes first.
 */
final class PrefixCache {

  private final int capacityBlocks;
  private final CacheEvents events;
  private final Map<Long, Boolean> blocks = new LinkedHashMap<>(16, 0.75f, true);

  PrefixCache(int capacityBlocks, CacheEvents events) {
    this.capacityBlocks = capacityBlocks;
    this.events = events;
  }

  /** How many leading blocks of a prompt are cached; they count as used. */
  int match(List<Long> hashes) {
    int matched = 0;
    while (matched < hashes.size() && blocks.get(hashes.get(matched)) != null) {
      matched++;
    }
    return matched;
  }

  /**
   * Stores all blocks of a prompt, the first as the most recently used, since all later need it.
   */
  void store(List<Long> hashes, long nowMillis) {
    for (int block = Math.min(hashes.size(), capacityBlocks) - 1; block >= 0; block--) {
      Long hash = hashes.get(block);
      if (blocks.put(hash, true) == null) {
        events.add(CacheEvents.Kind.STORED, hash, nowMillis);
      }
    }
    evict(nowMillis);
  }

  private void evict(long nowMillis) {
    var eldest = blocks.keySet().iterator();
    while (blocks.size() > capacityBlocks) {
      Long hash = eldest.next();
      eldest.remove();
      events.add(CacheEvents.Kind.REMOVED, hash, nowMillis);
    }
  }

  /** Forgets everything, as when another model is loaded. */
  void clear(long nowMillis) {
    blocks.clear();
    events.add(CacheEvents.Kind.CLEARED, 0, nowMillis);
  }

  int size() {
    return blocks.size();
  }
}
