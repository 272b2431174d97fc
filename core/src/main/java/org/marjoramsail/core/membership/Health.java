package org.marjoramsail.core.membership;

/** Whether a daemon answers; of two beliefs with one version, the later constant wins. */
public enum Health {
  ALIVE,
  SUSPECT,
  DEAD
}
