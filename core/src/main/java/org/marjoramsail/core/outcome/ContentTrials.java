package org.marjoramsail.core.outcome;

import java.util.NavigableSet;

/**
 * Decides which daemon runs the trial of a content that was on several upstreams which were lost
 * together, and when.
 *
 * <p>The hosts that reported the crashes have their turns one after another, so that a content that
 * crashes upstreams ends only one more. The other hosts follow, in case no request with the content
 * reaches those.
 */
final class ContentTrials {

  /** Time for the reports of the other hosts to arrive, in milliseconds. */
  private static final long REPORT_MILLIS = 200;

  /** Time in which the end of a trial is known to the other hosts, in milliseconds. */
  private static final long TURN_MILLIS = 1_000;

  /** Number of turns over which the hosts without a report are spread. */
  private static final int LATER_TURNS = 8;

  private final String self;
  private final CrashRecords records;

  ContentTrials(String self, CrashRecords records) {
    this.self = self;
    this.records = records;
  }

  /** Returns whether the turn of this host has come. */
  boolean isDue(long fingerprint, long nowMillis) {
    long turnMillis = REPORT_MILLIS + turn(fingerprint) * TURN_MILLIS;
    return nowMillis >= records.lastCrashMillis(fingerprint) + turnMillis;
  }

  private int turn(long fingerprint) {
    NavigableSet<String> reporters = records.reporters(fingerprint);
    if (reporters.contains(self)) {
      return reporters.headSet(self).size();
    }
    return reporters.size()
        + Math.floorMod(self.hashCode() ^ Long.hashCode(fingerprint), LATER_TURNS);
  }
}
