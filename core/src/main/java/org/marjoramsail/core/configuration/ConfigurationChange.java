package org.marjoramsail.core.configuration;

import java.util.List;
import java.util.Optional;

/**
 * Change that an operator ordered; applied atomically.
 *
 * @param order identifier of the change; a repeated order has no further effect
 * @param author the operator who ordered it
 * @param summary the purpose of the change, as stated by the operator
 * @param baseRevision the revision that the change is based on; a later change of the same objects
 *     is a conflict
 * @param operations its operations, in order
 */
public record ConfigurationChange(
    OrderId order,
    String author,
    String summary,
    Optional<Long> baseRevision,
    List<ConfigurationOperation> operations) {

  /** Copies the list to make the record immutable. */
  public ConfigurationChange {
    operations = List.copyOf(operations);
  }
}
