package org.marjoramsail.core.membership;

/** How far a run of a daemon has come on its way out; it never goes back. */
public enum Departure {
  STAYING,
  LEAVING,
  LEFT
}
