package org.marjoramsail.core.outcome;

/** Handling of a content by the quarantine. */
public enum Suspicion {
  /** No crash is recorded. */
  CLEAR,
  /**
   * The content ran on an upstream that crashed, as others did; it runs only apart from other
   * suspects.
   */
  SUSPECT,
  /** The second crash is not proven, or another content is retried first; the content waits. */
  UNSETTLED,
  /** The content was on two crashed upstreams, and no other content explains both crashes. */
  QUARANTINED
}
