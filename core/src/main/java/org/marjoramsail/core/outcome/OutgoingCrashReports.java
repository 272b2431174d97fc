package org.marjoramsail.core.outcome;

import java.util.ArrayDeque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.marjoramsail.core.model.UpstreamName;

/** Reports of crashes and of cleared contents for the other daemons. */
final class OutgoingCrashReports {

  private final CrashRecords records;
  private final ArrayDeque<CrashReportMessage> outgoing = new ArrayDeque<>();

  OutgoingCrashReports(CrashRecords records) {
    this.records = records;
  }

  /**
   * Returns the report of a crash with the attempts that ran on the upstream. The evidence against
   * a content is that of its first attempt there, which would have been the one to crash it.
   */
  static CrashReportMessage report(
      UpstreamName upstream, long incarnation, List<RunningAttempt> runs, long lifetimeMillis) {
    Map<Long, Integer> evidence = new LinkedHashMap<>();
    runs.forEach(run -> evidence.merge(run.fingerprint, run.evidenceBefore + 1, Math::min));
    return new CrashReportMessage(
        upstream,
        incarnation,
        List.copyOf(evidence.keySet()),
        lifetimeMillis,
        false,
        List.copyOf(evidence.values()));
  }

  /** Adds the report of a crash. */
  void add(CrashReportMessage message) {
    outgoing.add(message);
  }

  /**
   * Clears a content of all crashes in the records, and adds a report for each.
   *
   * @return the upstreams of these crashes; empty if the content is not recorded
   */
  List<UpstreamName> clear(long fingerprint, long nowMillis) {
    List<CrashId> counted = records.clear(fingerprint);
    for (CrashId crash : counted) {
      long lifetimeMillis = records.expiresAtMillis(fingerprint) - nowMillis;
      outgoing.add(
          new CrashReportMessage(
              crash.upstream(), crash.incarnation(), List.of(fingerprint), lifetimeMillis, true));
    }
    return counted.stream().map(CrashId::upstream).toList();
  }

  /** Removes and returns the reports; each is returned once. */
  List<CrashReportMessage> take() {
    List<CrashReportMessage> messages = List.copyOf(outgoing);
    outgoing.clear();
    return messages;
  }

  /** Returns a report of each recorded crash, with the contents that are not cleared of it. */
  List<CrashReportMessage> all(long nowMillis) {
    return records.crashes().stream()
        .map(crash -> report(crash, nowMillis))
        .filter(report -> !report.fingerprints().isEmpty())
        .toList();
  }

  private CrashReportMessage report(CrashId crash, long nowMillis) {
    List<Long> suspects = records.suspects(crash);
    long expiresAtMillis =
        suspects.stream().mapToLong(records::expiresAtMillis).max().orElse(nowMillis);
    return new CrashReportMessage(
        crash.upstream(),
        crash.incarnation(),
        suspects,
        expiresAtMillis - nowMillis,
        false,
        suspects.stream().map(content -> records.evidence(content, crash)).toList());
  }
}
