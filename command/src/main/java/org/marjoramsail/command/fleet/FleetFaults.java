package org.marjoramsail.command.fleet;

/**
 * What is made to fail during a run.
 *
 * @param decodeCrashEveryMillis time between two deaths of decode engines, which take turns; zero
 *     for none
 * @param ownerDeathAtMillis when the daemon that decides for the model's engines dies, counted from
 *     the start of the run; zero for never
 */
public record FleetFaults(long decodeCrashEveryMillis, long ownerDeathAtMillis) {

  /** Nothing fails. */
  public static FleetFaults none() {
    return new FleetFaults(0, 0);
  }
}
