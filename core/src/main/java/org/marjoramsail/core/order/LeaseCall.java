package org.marjoramsail.core.order;

/** A call of the store that a lease needs; its outcome has to be told to the keeper. */
public sealed interface LeaseCall {

  /** Read the lease. */
  record Read() implements LeaseCall {}

  /**
   * Write the lease.
   *
   * @param lease its new content
   * @param version the version that it must still have; empty to create it
   */
  record Write(LeaseRecord lease, String version) implements LeaseCall {}
}
