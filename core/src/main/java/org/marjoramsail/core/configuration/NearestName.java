package org.marjoramsail.core.configuration;

import java.util.Arrays;
import java.util.Collection;
import java.util.Optional;

/** Finds the most similar name by edit distance, to suggest it to an operator. */
public final class NearestName {

  /** Length of a name for which one edit is allowed. */
  private static final int LETTERS_PER_EDIT = 3;

  private NearestName() {}

  /** Returns the candidate with the smallest edit distance, if the distance is small enough. */
  public static Optional<String> of(String name, Collection<String> candidates) {
    int maximumEdits = Math.max(2, name.length() / LETTERS_PER_EDIT);
    String nearest = null;
    for (String candidate : candidates) {
      int distance = distance(name, candidate, maximumEdits);
      boolean isNearer =
          distance < maximumEdits || nearest == null || candidate.compareTo(nearest) < 0;
      if (distance <= maximumEdits && isNearer) {
        nearest = candidate;
        maximumEdits = distance;
      }
    }
    return Optional.ofNullable(nearest);
  }

  /**
   * Returns the edit distance, or a larger number than {@code maximum} if the distance is larger.
   * The computation ends early then, since a name may be compared with thousands of others.
   */
  private static int distance(String left, String right, int maximum) {
    if (Math.abs(left.length() - right.length()) > maximum) {
      return maximum + 1;
    }
    int[] previous = new int[right.length() + 1];
    for (int column = 0; column <= right.length(); column++) {
      previous[column] = column;
    }
    for (int row = 1; row <= left.length(); row++) {
      previous = nextRow(left.charAt(row - 1), right, previous, row);
      if (Arrays.stream(previous).min().orElse(0) > maximum) {
        return maximum + 1;
      }
    }
    return previous[right.length()];
  }

  private static int[] nextRow(char letter, String right, int[] previous, int row) {
    int[] current = new int[right.length() + 1];
    current[0] = row;
    for (int column = 1; column <= right.length(); column++) {
      int substitution = previous[column - 1] + (right.charAt(column - 1) == letter ? 0 : 1);
      int insertion = Math.min(previous[column], current[column - 1]) + 1;
      current[column] = Math.min(substitution, insertion);
    }
    return current;
  }
}
