package org.marjoramsail.core.placement;

import java.util.List;

/** A fact about upstreams, limits or configuration, told to a placer under its shard's lock. */
@FunctionalInterface
public interface PlacerEvent {

  /** Tells the fact and gives what the placer decided because of it. */
  List<PlacementResult> applyTo(Placer placer, long nowMillis);
}
