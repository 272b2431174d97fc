package org.marjoramsail.daemon.forward;

/** What the head of an answer says of the request that it answers. */
public enum ResponseDisposition {
  /** It was served. */
  SERVED,
  /** It was run and failed; the answer says how. */
  FAILED,
  /** It was not run, since the upstream has no room. */
  FULL,
  /** It was not run, since another upstream has this address now or this one takes nothing more. */
  MISDIRECTED,
  /** The answer belongs to another request or is not what the upstream made. */
  INVALID,
  /** It was not served, and nothing proves whether it ran. */
  UNKNOWN
}
