package org.marjoramsail.core.configuration;

/** What becomes of a keyed at-most-once request while its claim cannot be recorded. */
public enum StoreOutagePolicy {
  /** Refuse it truthfully as not run; the default, since it never risks a second run. */
  REFUSE,
  /**
   * Run it without a claim; a repeat with the same key during the outage may run it again, so this
   * is for requests whose second run does little harm.
   */
  RUN_UNCLAIMED
}
