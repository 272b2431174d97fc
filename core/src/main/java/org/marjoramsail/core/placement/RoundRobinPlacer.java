package org.marjoramsail.core.placement;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import org.marjoramsail.core.model.UpstreamRole;

/** Picks the upstreams of each role in turn. */
final class RoundRobinPlacer extends DirectPlacer {

  private final Map<UpstreamRole, Integer> turns = new EnumMap<>(UpstreamRole.class);

  RoundRobinPlacer(PlacerSetup setup) {
    super(setup);
  }

  @Override
  Candidate pick(List<Candidate> choices) {
    int turn = turns.merge(choices.get(0).role(), 1, Integer::sum);
    return choices.get(Math.floorMod(turn, choices.size()));
  }
}
