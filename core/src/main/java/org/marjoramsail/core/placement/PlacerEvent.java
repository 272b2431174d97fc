package org.marjoramsail.core.placement;

import java.util.List;

/**
 * An event about upstreams, limits or configuration, applied to a placer under the lock of its
 * shard.
 */
@FunctionalInterface
public interface PlacerEvent {

  /** Applies the event to the placer and returns the decisions that follow from it. */
  List<PlacementResult> applyTo(Placer placer, long nowMillis);
}
