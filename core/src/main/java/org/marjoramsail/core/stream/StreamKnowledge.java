package org.marjoramsail.core.stream;

import java.util.Optional;

/**
 * What a daemon knows of the origin of a stream.
 *
 * @param origin the origin; empty if it is unknown or ambiguous
 * @param ambiguous whether the key belongs to streams of different origins
 * @param ageMillis time since the origin was recorded; zero if it is unknown
 */
public record StreamKnowledge(Optional<StreamOrigin> origin, boolean ambiguous, long ageMillis) {

  /** Knowledge of a daemon that has no record of the stream. */
  public static final StreamKnowledge NONE = new StreamKnowledge(Optional.empty(), false, 0);

  /** Returns whether there is a record of the stream. */
  public boolean isAny() {
    return ambiguous || origin.isPresent();
  }
}
