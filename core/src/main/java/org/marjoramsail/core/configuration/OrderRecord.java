package org.marjoramsail.core.configuration;

import java.util.Collection;
import java.util.List;

/**
 * What is remembered of an accepted change, in the same object as the configuration that it made.
 *
 * @param order names the change
 * @param revision the revision that it made
 * @param author who ordered it
 * @param summary what it was for
 * @param acceptedAtMillis wall-clock time of its acceptance, for people only
 * @param touched the objects that it changed; empty when there were too many to remember
 */
public record OrderRecord(
    OrderId order,
    long revision,
    String author,
    String summary,
    long acceptedAtMillis,
    List<ObjectKey> touched) {

  /** Copies the list, so that the value cannot change. */
  public OrderRecord {
    touched = List.copyOf(touched);
  }

  /** Whether the change may have changed one of these objects. */
  boolean overlaps(Collection<ObjectKey> objects) {
    return touched.isEmpty() || objects.isEmpty() || touched.stream().anyMatch(objects::contains);
  }
}
