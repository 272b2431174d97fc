package org.marjoramsail.core.configuration;

import java.util.List;

/**
 * What leads from one revision to a later one.
 *
 * @param baseRevision the revision that it applies to
 * @param revision the revision that it makes
 * @param checksum of the configuration that it makes, against a delta that leads elsewhere
 * @param operations the steps
 */
public record RevisionDelta(
    long baseRevision, long revision, long checksum, List<ConfigurationOperation> operations) {

  /** Copies the list, so that the value cannot change. */
  public RevisionDelta {
    operations = List.copyOf(operations);
  }
}
