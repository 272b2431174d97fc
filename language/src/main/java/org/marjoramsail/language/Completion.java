package org.marjoramsail.language;

import java.util.List;

/**
 * How a text can go on.
 *
 * @param start where the word begins that the candidates replace, in characters from zero
 * @param candidates the words that may stand there, in alphabetical order
 */
public record Completion(int start, List<String> candidates) {

  /** Copies the list, so that the value cannot change. */
  public Completion {
    candidates = List.copyOf(candidates);
  }
}
