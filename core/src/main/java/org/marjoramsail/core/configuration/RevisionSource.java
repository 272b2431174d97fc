package org.marjoramsail.core.configuration;

/** Source of the newest revision of a daemon. */
public enum RevisionSource {
  /** The daemon has no revision yet. */
  NONE,
  /** The daemon accepted the change itself. */
  ACCEPTANCE,
  /** The daemon read the revision from the store. */
  STORE,
  /** Another daemon sent the revision. */
  PEER
}
