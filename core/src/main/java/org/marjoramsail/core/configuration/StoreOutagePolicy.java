package org.marjoramsail.core.configuration;

/** Handling of an at-most-once request with a key while its claim cannot be recorded. */
public enum StoreOutagePolicy {
  /** Refuse the request as not run; the default, since the request can never run twice. */
  REFUSE,
  /**
   * Run the request without a claim. A repeated request with the same key may run again during the
   * outage, so this is for requests whose second run does little harm.
   */
  RUN_UNCLAIMED
}
