package org.marjoramsail.daemon.claim;

import java.util.Locale;

/**
 * Result of a {@link ClaimMeasurement}.
 *
 * @param daemons number of daemons that claimed
 * @param requestedPerSecond claims sent per second
 * @param grantedPerSecond claims granted per second
 * @param otherResults claims with another result than a grant, although every key was new
 * @param writesPerSecond writes that the daemons sent to the store per second
 * @param failedWrites writes that failed during the whole run, conflicts included
 * @param p50Millis median latency of a granted claim
 * @param p95Millis 95th percentile of the latency of a granted claim
 * @param p99Millis 99th percentile of the latency of a granted claim
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

  /** Returns the header of a Markdown table with the columns of {@link #row()}. */
  public static String header() {
    return "| daemons | asked/s | granted/s | other results | writes/s | failed writes | p50 ms"
        + " | p95 ms | p99 ms |";
  }

  /** Returns the values as a row of a Markdown table. */
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
