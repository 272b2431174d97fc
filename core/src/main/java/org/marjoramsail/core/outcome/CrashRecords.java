package org.marjoramsail.core.outcome;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.NavigableSet;
import java.util.Set;
import java.util.TreeSet;

/**
 * Records which contents were on which crashed upstreams, and derives which one is the cause.
 *
 * <p>A content is refused when it was on {@link Quarantine#CRASH_LIMIT} crashed upstreams and no
 * other content was on all of these. Crashes count as independent if the content was sent to the
 * one after the other was noticed: upstreams that are lost together prove nothing against a content
 * that was on several of them. After such crashes it needs a trial, which clears it or is the
 * second, independent crash. While there are others, each of them may be the cause: one that is
 * refused already explains the crashes, and otherwise they are retried one after another, the least
 * likely first. Each one that completes is cleared, so that the cause is found without a further
 * crash.
 */
final class CrashRecords {

  private static final class Entry {
    /** Crashes with the number of independent ones up to each. */
    private final Map<CrashId, Integer> crashes = new LinkedHashMap<>();

    private final Set<CrashId> cleared = new HashSet<>();
    private final NavigableSet<String> reporters = new TreeSet<>();
    private long lastCrashMillis;
    private long expiresAtMillis;

    private List<CrashId> activeCrashes() {
      return crashes.keySet().stream().filter(crash -> !cleared.contains(crash)).toList();
    }

    private int evidence() {
      List<CrashId> active = activeCrashes();
      int highest = active.stream().mapToInt(crashes::get).max().orElse(0);
      return Math.min(highest, active.size());
    }
  }

  private final int maximumEntries;
  private final Map<Long, Entry> entries = new LinkedHashMap<>();
  private final Map<CrashId, Set<Long>> suspects = new HashMap<>();

  CrashRecords(int maximumEntries) {
    this.maximumEntries = maximumEntries;
  }

  /**
   * Adds a crash with the contents that ran on the upstream, the least likely cause first.
   *
   * @param reporter host that reports the crash
   */
  void add(CrashReportMessage report, String reporter, long nowMillis, long expiresAtMillis) {
    CrashId crash = new CrashId(report.upstream(), report.incarnation());
    List<Long> contents = report.fingerprints();
    suspects.computeIfAbsent(crash, unused -> new LinkedHashSet<>()).addAll(contents);
    for (int index = 0; index < contents.size(); index++) {
      Entry entry = entry(contents.get(index));
      if (!entry.crashes.containsKey(crash)) {
        entry.lastCrashMillis = nowMillis;
      }
      int evidence = report.evidence(index).orElse(entry.evidence() + 1);
      entry.crashes.merge(crash, evidence, Math::min);
      entry.reporters.add(reporter);
      if (report.lifted()) {
        entry.cleared.add(crash);
      }
      entry.expiresAtMillis = Math.max(entry.expiresAtMillis, expiresAtMillis);
    }
  }

  /** Returns the number of independent crashes of which this content is not cleared. */
  int evidence(long fingerprint) {
    Entry entry = entries.get(fingerprint);
    return entry == null ? 0 : entry.evidence();
  }

  /** Returns the number of independent crashes with a content up to a recorded one. */
  int evidence(long fingerprint, CrashId crash) {
    return entries.get(fingerprint).crashes.get(crash);
  }

  /** Returns whether a content was on several upstreams that were lost together, and no other. */
  boolean needsTrial(long fingerprint) {
    return crashCount(fingerprint) >= Quarantine.CRASH_LIMIT
        && evidence(fingerprint) < Quarantine.CRASH_LIMIT
        && othersOnAllCrashes(fingerprint).isEmpty();
  }

  /** Returns when the latest crash with a content was recorded. */
  long lastCrashMillis(long fingerprint) {
    return entries.get(fingerprint).lastCrashMillis;
  }

  /** Returns the hosts that reported crashes with a content, in the same order on all daemons. */
  NavigableSet<String> reporters(long fingerprint) {
    return entries.get(fingerprint).reporters;
  }

  /** Returns the number of crashes of which this content is not cleared. */
  int crashCount(long fingerprint) {
    Entry entry = entries.get(fingerprint);
    return entry == null ? 0 : entry.activeCrashes().size();
  }

  long expiresAtMillis(long fingerprint) {
    return entries.get(fingerprint).expiresAtMillis;
  }

  /** Returns all crashes that are stored. */
  List<CrashId> crashes() {
    return List.copyOf(suspects.keySet());
  }

  /** Returns the contents that are not cleared of a crash, the least likely cause first. */
  List<Long> suspects(CrashId crash) {
    return suspects.get(crash).stream().filter(content -> isActive(content, crash)).toList();
  }

  /** Returns all contents that are stored, the oldest first. */
  List<Long> fingerprints() {
    return List.copyOf(entries.keySet());
  }

  Suspicion suspicion(long fingerprint) {
    if (crashCount(fingerprint) == 0) {
      return Suspicion.CLEAR;
    }
    if (crashCount(fingerprint) < Quarantine.CRASH_LIMIT) {
      return Suspicion.SUSPECT;
    }
    List<Long> others = othersOnAllCrashes(fingerprint);
    if (others.isEmpty()) {
      return evidence(fingerprint) < Quarantine.CRASH_LIMIT
          ? Suspicion.UNSETTLED
          : Suspicion.QUARANTINED;
    }
    boolean isExplained = others.stream().anyMatch(this::isOnlyExplanation);
    return isExplained || others.stream().noneMatch(other -> isTriedFirst(other, fingerprint))
        ? Suspicion.SUSPECT
        : Suspicion.UNSETTLED;
  }

  /** Returns which of these contents are refused. */
  Set<Long> quarantined(Collection<Long> fingerprints) {
    Set<Long> result = new LinkedHashSet<>(fingerprints);
    result.removeIf(fingerprint -> suspicion(fingerprint) != Suspicion.QUARANTINED);
    return result;
  }

  private boolean isOnlyExplanation(long fingerprint) {
    return evidence(fingerprint) >= Quarantine.CRASH_LIMIT
        && othersOnAllCrashes(fingerprint).isEmpty();
  }

  private List<Long> othersOnAllCrashes(long fingerprint) {
    List<CrashId> crashes = entries.get(fingerprint).activeCrashes();
    return suspects.get(crashes.get(0)).stream()
        .filter(other -> other != fingerprint)
        .filter(other -> crashes.stream().allMatch(crash -> isActive(other, crash)))
        .toList();
  }

  private boolean isActive(long fingerprint, CrashId crash) {
    Entry entry = entries.get(fingerprint);
    return entry != null && entry.crashes.containsKey(crash) && !entry.cleared.contains(crash);
  }

  private boolean isTriedFirst(long other, long fingerprint) {
    List<CrashId> crashes = entries.get(fingerprint).activeCrashes();
    List<Long> order = new ArrayList<>(suspects.get(crashes.get(crashes.size() - 1)));
    return order.indexOf(other) < order.indexOf(fingerprint);
  }

  /** Clears a content of all its crashes; returns those of which it was not cleared before. */
  List<CrashId> clear(long fingerprint) {
    Entry entry = entries.get(fingerprint);
    if (entry == null) {
      return List.of();
    }
    List<CrashId> active = entry.activeCrashes();
    entry.cleared.addAll(active);
    return active;
  }

  void expire(long nowMillis) {
    if (entries.values().removeIf(entry -> nowMillis >= entry.expiresAtMillis)) {
      removeUnusedCrashes();
    }
  }

  private Entry entry(long fingerprint) {
    Entry existing = entries.get(fingerprint);
    if (existing != null) {
      return existing;
    }
    if (entries.size() >= maximumEntries) {
      Iterator<Long> oldest = entries.keySet().iterator();
      oldest.next();
      oldest.remove();
      removeUnusedCrashes();
    }
    Entry added = new Entry();
    entries.put(fingerprint, added);
    return added;
  }

  private void removeUnusedCrashes() {
    suspects.values().removeIf(contents -> contents.stream().noneMatch(entries::containsKey));
  }
}
