package org.marjoramsail.core.placement;

import org.marjoramsail.core.model.UpstreamName;

/**
 * What an engine published of its prefix cache; events come late and with gaps.
 *
 * @param upstream whose cache
 * @param kind what happened
 * @param hash the block's chained hash; meaningless when {@code kind} is {@code CLEARED}
 */
public record CacheEvent(UpstreamName upstream, Kind kind, long hash) {

  /** What happened to a block. */
  public enum Kind {
    STORED,
    REMOVED,
    /** All blocks are gone. */
    CLEARED
  }
}
