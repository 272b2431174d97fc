package org.marjoramsail.core.membership;

/** Progress of the planned departure of an incarnation; it only advances. */
public enum Departure {
  STAYING,
  LEAVING,
  LEFT
}
