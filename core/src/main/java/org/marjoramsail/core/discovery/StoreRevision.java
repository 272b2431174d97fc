package org.marjoramsail.core.discovery;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.Comparator;

/**
 * Revision of the store, ordered by the time of its states.
 *
 * <p>A store that is restored from a backup starts a new epoch and assigns revisions again, so that
 * one number may stand for two states.
 *
 * @param epoch rises each time the store is restored from a backup; zero where it is not sent
 * @param number revision within the epoch
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
