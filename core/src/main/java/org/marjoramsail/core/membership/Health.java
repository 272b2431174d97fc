package org.marjoramsail.core.membership;

/** Health of a daemon; of two updates with the same version, the later constant wins. */
public enum Health {
  ALIVE,
  SUSPECT,
  DEAD
}
