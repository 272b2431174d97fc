package org.marjoramsail.core.configuration;

import java.util.List;
import java.util.Optional;

/**
 * What an operator ordered, taken over whole or not at all.
 *
 * @param order names it; the same order again has no further effect
 * @param author who ordered it
 * @param summary what it is for, in the operator's words
 * @param baseRevision the revision that the operator saw; a later change of the same objects is a
 *     conflict
 * @param operations its steps, in order
 */
public record ConfigurationChange(
    OrderId order,
    String author,
    String summary,
    Optional<Long> baseRevision,
    List<ConfigurationOperation> operations) {

  /** Copies the list, so that the value cannot change. */
  public ConfigurationChange {
    operations = List.copyOf(operations);
  }
}
