package org.marjoramsail.core.outcome;

/** What the quarantine says of a content. */
public enum Suspicion {
  /** No crash is known. */
  CLEAR,
  /** It ran on an upstream that crashed, as did others; it is tried apart from other suspects. */
  SUSPECT,
  /** Its second crash is not proven, or another content is tried first; it waits. */
  UNSETTLED,
  /** It was on two crashed upstreams, and no other content explains both. */
  QUARANTINED
}
