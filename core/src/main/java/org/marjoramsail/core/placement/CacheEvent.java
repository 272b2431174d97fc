package org.marjoramsail.core.placement;

import org.marjoramsail.core.model.UpstreamName;

/**
 * Change of an engine's prefix cache; events are delayed and some may be missing.
 *
 * @param upstream the upstream whose cache changed
 * @param kind the kind of change
 * @param hash the chained hash of the block; meaningless when {@code kind} is {@code CLEARED}
 */
public record CacheEvent(UpstreamName upstream, Kind kind, long hash) {

  /** Kind of change to the cache. */
  public enum Kind {
    STORED,
    REMOVED,
    /** All blocks were removed. */
    CLEARED
  }
}
