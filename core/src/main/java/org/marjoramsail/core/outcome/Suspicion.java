package org.marjoramsail.core.outcome;

/** What the quarantine says of a content. */
public enum Suspicion {
  /** No crash is known. */
  CLEAR,
  /** It ran on an upstream that crashed, as did others; it is tried apart from other suspects. */
  SUSPECT,
  /** Its second crash is likely but not yet proven; it waits for the proof. */
  UNSETTLED,
  /** It has crashed two upstreams. */
  QUARANTINED
}
