package org.marjoramsail.core.configuration;

import java.util.Collection;
import java.util.List;

/**
 * Record of an accepted change, stored in the same object as the resulting configuration.
 *
 * @param order the identifier of the change
 * @param revision the revision that it created
 * @param author the operator who ordered it
 * @param summary the purpose of the change, as stated by the operator
 * @param acceptedAtMillis wall-clock time of its acceptance; for display only
 * @param touched the objects that it changed; empty if there were too many to record
 */
public record OrderRecord(
    OrderId order,
    long revision,
    String author,
    String summary,
    long acceptedAtMillis,
    List<ObjectKey> touched) {

  /** Copies the list to make the record immutable. */
  public OrderRecord {
    touched = List.copyOf(touched);
  }

  /** Returns whether the change may have changed one of these objects. */
  boolean overlaps(Collection<ObjectKey> objects) {
    return touched.isEmpty() || objects.isEmpty() || touched.stream().anyMatch(objects::contains);
  }
}
