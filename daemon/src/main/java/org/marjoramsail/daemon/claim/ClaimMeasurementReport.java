package org.marjoramsail.daemon.claim;

import java.util.Locale;

/**
 * What a run of {@link ClaimMeasurement} showed.
 *
 * @param daemons how many daemons asked
 * @param requestedPerSecond claims asked for, a second
 * @param grantedPerSecond claims granted, a second
 * @param otherResults claims with another result than a grant; all keys were fresh
 * @param writesPerSecond writes that the daemons sent, a second
 * @param failedWrites writes without success, conflicts included
 * @param p50Millis added time of a claim, half of them
 * @param p95Millis added time of a claim, 95 in 100
 * @param p99Millis added time of a claim, 99 in 100
 */
public record ClaimMeasurementReport(
    int daemons,
    double requestedPerSecond,
    double grantedPerSecond,
    long otherResults,
    double writesPerSecond,
    long failedWrites,
    double p50Millis,
    double p95Millis,
    double p99Millis) {

  /** The names of the columns of {@link #row()}. */
  public static String header() {
    return "| daemons | asked/s | granted/s | other results | writes/s | failed writes | p50 ms"
        + " | p95 ms | p99 ms |";
  }

  /** One row of a table. */
  public String row() {
    return String.format(
        Locale.ROOT,
        "| %d | %.0f | %.0f | %d | %.1f | %d | %.1f | %.1f | %.1f |",
        daemons,
        requestedPerSecond,
        grantedPerSecond,
        otherResults,
        writesPerSecond,
        failedWrites,
        p50Millis,
        p95Millis,
        p99Millis);
  }
}
