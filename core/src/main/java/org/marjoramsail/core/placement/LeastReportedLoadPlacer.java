package org.marjoramsail.core.placement;

import java.util.Comparator;
import java.util.List;
import java.util.random.RandomGenerator;

/** Picks an upstream with the least reported load, at random among equals. */
final class LeastReportedLoadPlacer extends DirectPlacer {

  private final RandomGenerator random;

  LeastReportedLoadPlacer(PlacerSetup setup) {
    super(setup);
    this.random = setup.random();
  }

  @Override
  Candidate pick(List<Candidate> choices) {
    double least =
        choices.stream().min(Comparator.comparingDouble(Candidate::reportedLoad)).stream()
            .mapToDouble(Candidate::reportedLoad)
            .sum();
    List<Candidate> equal =
        choices.stream().filter(choice -> choice.reportedLoad() <= least).toList();
    return equal.get(random.nextInt(equal.size()));
  }
}
