package org.marjoramsail.core.configuration;

/** What becomes of a keyed at-most-once request while its claim cannot be recorded. */
public enum StoreOutagePolicy {
  /** Refuse it truthfully as not run; the default, since it never risks a second run. */
  REFUSE,
  /** Run it once without a claim; a repeat with the same key is refused until the store is back. */
  RUN_UNCLAIMED
}
