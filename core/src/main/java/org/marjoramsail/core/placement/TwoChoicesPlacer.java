package org.marjoramsail.core.placement;

import java.util.List;
import java.util.random.RandomGenerator;

/** Picks the upstream with the lower reported load of two drawn at random. */
final class TwoChoicesPlacer extends DirectPlacer {

  private final RandomGenerator random;

  TwoChoicesPlacer(PlacerSetup setup) {
    super(setup);
    this.random = setup.random();
  }

  @Override
  Candidate pick(List<Candidate> choices) {
    Candidate first = choices.get(random.nextInt(choices.size()));
    Candidate second = choices.get(random.nextInt(choices.size()));
    return first.reportedLoad() <= second.reportedLoad() ? first : second;
  }
}
