package org.marjoramsail.core.order;

/**
 * A call of the store that a {@link LeaseKeeper} requests; the caller reports its outcome to the
 * keeper.
 */
public sealed interface LeaseCall {

  /** Reads the lease. */
  record Read() implements LeaseCall {}

  /**
   * Writes the lease by a conditional update.
   *
   * @param lease the new content
   * @param version the version to replace; empty to create the lease
   */
  record Write(LeaseRecord lease, String version) implements LeaseCall {}
}
