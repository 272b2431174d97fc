package org.marjoramsail.language;

import java.util.Collection;
import java.util.Comparator;
import java.util.Locale;
import java.util.Optional;
import org.apache.commons.text.similarity.LevenshteinDistance;

/** Finds the valid name that somebody who mistyped one most likely meant. */
public final class NearestName {

  /** One slip in this many letters still counts as the same word. */
  private static final int LETTERS_PER_SLIP = 3;

  private NearestName() {}

  /**
   * The name that differs least from {@code typed}; empty when all differ too much.
   *
   * @param typed what was given
   * @param names what is allowed
   */
  public static Optional<String> of(String typed, Collection<String> names) {
    int threshold = Math.max(1, (typed.length() + 1) / LETTERS_PER_SLIP);
    LevenshteinDistance distance = new LevenshteinDistance(threshold);
    String folded = typed.toLowerCase(Locale.ROOT);
    return names.stream()
        .map(name -> new Candidate(name, distance.apply(folded, name.toLowerCase(Locale.ROOT))))
        .filter(candidate -> candidate.slips() >= 0)
        .min(Comparator.comparingInt(Candidate::slips).thenComparing(Candidate::name))
        .map(Candidate::name);
  }

  private record Candidate(String name, int slips) {}
}
