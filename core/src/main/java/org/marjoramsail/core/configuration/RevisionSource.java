package org.marjoramsail.core.configuration;

/** Where a daemon learned a revision. */
public enum RevisionSource {
  /** It has none yet. */
  NONE,
  /** It accepted the change itself. */
  ACCEPTANCE,
  /** It read or watched the store. */
  STORE,
  /** Another daemon told it. */
  PEER
}
