package org.marjoramsail.language;

import java.util.Collection;
import java.util.Comparator;
import java.util.Locale;
import java.util.Optional;
import org.apache.commons.text.similarity.JaroWinklerSimilarity;

/** Finds the valid name that somebody who mistyped one most likely meant. */
public final class NearestName {

  /** Below this, two words are not taken for each other; one is the same word. */
  private static final double LEAST_SIMILARITY = 0.82;

  private NearestName() {}

  /**
   * The name that is most like {@code typed}; empty when all differ too much.
   *
   * @param typed what was given
   * @param names what is allowed
   */
  public static Optional<String> of(String typed, Collection<String> names) {
    JaroWinklerSimilarity similarity = new JaroWinklerSimilarity();
    String folded = typed.toLowerCase(Locale.ROOT);
    return names.stream()
        .map(name -> new Candidate(name, similarity.apply(folded, name.toLowerCase(Locale.ROOT))))
        .filter(candidate -> candidate.similarity() >= LEAST_SIMILARITY)
        .max(Comparator.comparingDouble(Candidate::similarity).thenComparing(Candidate::name))
        .map(Candidate::name);
  }

  private record Candidate(String name, double similarity) {}
}
