package org.marjoramsail.daemon.forward;

/** Classification of an upstream's response by its head. */
public enum ResponseDisposition {
  /** The request was served. */
  SERVED,
  /** The request was run and failed; the response describes the failure. */
  FAILED,
  /** The request was not run, since the upstream has no free capacity. */
  FULL,
  /**
   * The request was not run, since the address now belongs to another upstream or the upstream no
   * longer accepts requests.
   */
  MISDIRECTED,
  /** The response belongs to another request or was not made by the upstream. */
  INVALID,
  /** The request was not served, and the response does not show whether it ran. */
  UNKNOWN
}
