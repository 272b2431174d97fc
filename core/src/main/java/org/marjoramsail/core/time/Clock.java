package org.marjoramsail.core.time;

/**
 * Source of the time in milliseconds.
 *
 * <p>All code of the project uses a clock that is passed to it; the core never creates a wall clock
 * of its own. Only differences between two readings in one process are meaningful; readings of
 * different processes are never compared.
 */
@FunctionalInterface
public interface Clock {

  /**
   * Returns the milliseconds since a fixed instant; never decreases, unless the clock is documented
   * as the time of day.
   */
  long millis();
}
