package org.marjoramsail.core.configuration.check;

import java.util.ArrayList;
import java.util.List;

/** Checks that the times of a stop of a daemon fit into the time that the platform gives it. */
public final class StopCheck {

  private StopCheck() {}

  /**
   * The times of a stop.
   *
   * @param leaveMillis how long a stopping daemon waits until the balancer sends nothing more
   * @param stopMillis how long it then lets running requests end
   * @param isStopStated whether the settings state that time
   * @param drainMillis time after which an upstream that leaves gets no new work
   * @param graceMillis time after which the platform ends a daemon that was told to stop
   * @param allowedMillis the part of that time that a daemon uses
   */
  public record Times(
      long leaveMillis,
      long stopMillis,
      boolean isStopStated,
      long drainMillis,
      long graceMillis,
      long allowedMillis) {}

  /** Returns all findings in their order. */
  public static List<Finding> findingsOf(EntryKey entry, Times times) {
    List<Finding> findings = new ArrayList<>();
    if (times.drainMillis() > times.graceMillis()) {
      findings.add(
          new Finding(
              FindingKind.CONTRADICTION,
              entry,
              "/forwarding/drainMillis",
              Long.toString(times.drainMillis()),
              "at most the grace time of " + times.graceMillis() + " ms"));
    }
    if (times.leaveMillis() > times.allowedMillis() / 2) {
      findings.add(
          new Finding(
              FindingKind.CONTRADICTION,
              entry,
              "/limits/leaveMillis",
              Long.toString(times.leaveMillis()),
              "at most half of the " + times.allowedMillis() + " ms that a stop may take"));
    }
    boolean isStopTooLong = times.leaveMillis() + times.stopMillis() > times.allowedMillis();
    if (times.isStopStated() && isStopTooLong) {
      findings.add(
          new Finding(
              FindingKind.CONTRADICTION,
              entry,
              "/limits/stopMillis",
              Long.toString(times.stopMillis()),
              "with leaveMillis at most the "
                  + times.allowedMillis()
                  + " ms that a stop may take"));
    }
    return findings.stream().sorted().toList();
  }
}
