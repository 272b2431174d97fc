package org.marjoramsail.core.time;

/**
 * Tells the time in milliseconds.
 *
 * <p>All code of the project asks a clock that it was given; the core is never given a wall clock
 * of its own. Differences between two readings are meaningful; a reading of one process is never
 * compared with one of another.
 */
@FunctionalInterface
public interface Clock {

  /**
   * Milliseconds since some fixed instant; never falls, unless it is said to be the time of day.
   */
  long millis();
}
