package org.marjoramsail.core.discovery;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.Comparator;

/**
 * A state of the store, in the order in which its states came about.
 *
 * <p>A store that comes back from a copy begins a new epoch and gives revisions out again, so that
 * one number may stand for two states.
 *
 * @param epoch rises each time that the store comes back from a copy; zero where it does not say
 * @param number the revision within the epoch
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record StoreRevision(long epoch, long number) implements Comparable<StoreRevision> {

  private static final Comparator<StoreRevision> ORDER =
      Comparator.comparingLong(StoreRevision::epoch).thenComparingLong(StoreRevision::number);

  @Override
  public int compareTo(StoreRevision other) {
    return ORDER.compare(this, other);
  }

  @Override
  public String toString() {
    return epoch + "/" + number;
  }
}
