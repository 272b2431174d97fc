package org.marjoramsail.core.configuration;

import java.util.List;

/**
 * Operations that convert one revision into a later one.
 *
 * @param baseRevision the revision that it applies to
 * @param revision the revision that results
 * @param checksum checksum of the resulting configuration, to detect a wrong result
 * @param operations the operations, in order
 */
public record RevisionDelta(
    long baseRevision, long revision, long checksum, List<ConfigurationOperation> operations) {

  /** Copies the list to make the record immutable. */
  public RevisionDelta {
    operations = List.copyOf(operations);
  }
}
