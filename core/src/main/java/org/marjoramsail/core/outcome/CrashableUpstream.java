package org.marjoramsail.core.outcome;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The attempts on an upstream, and what is known of a crash of it. */
final class CrashableUpstream {

  /** Longest delay, in milliseconds, with which a proof of a crash may follow a cut. */
  static final long LATE_PROOF_MILLIS = 15_000;

  private static final long NEVER = Long.MIN_VALUE / 2;

  long incarnation;
  final Map<AttemptKey, RunningAttempt> running = new HashMap<>();
  final Map<AttemptKey, RunningAttempt> cut = new HashMap<>();
  final Map<AttemptKey, RunningAttempt> undecided = new HashMap<>();
  final Map<AttemptKey, RunningAttempt> dismissed = new HashMap<>();
  long decideAtMillis;
  boolean presumed;
  long lastCutAtMillis;
  long reachedAtMillis = NEVER;
  long crashedIncarnation = -1;

  boolean isUnsettled() {
    return !cut.isEmpty();
  }

  /** Returns whether a proof would still show a crash after a cut. */
  boolean mayHaveCrashed(long nowMillis) {
    return isUnsettled() || (!undecided.isEmpty() && isProofInTime(nowMillis));
  }

  boolean isProofInTime(long nowMillis) {
    return nowMillis - lastCutAtMillis <= LATE_PROOF_MILLIS;
  }

  /** Stops the wait for a proof; one that follows still counts. */
  void leaveUndecided() {
    undecided.putAll(cut);
    cut.clear();
  }

  /**
   * Records that a response disproved a crash after the cuts.
   *
   * <p>Guards against an upstream that crashed and restarted under its name before the list showed
   * it: its first responses seem to come from the earlier incarnation. When the new incarnation
   * shows, the attempts that were cut last become suspect again.
   *
   * @return the contents whose cuts are dismissed
   */
  List<Long> dismissCuts() {
    leaveUndecided();
    List<Long> fingerprints = fingerprints(undecided);
    if (!undecided.isEmpty()) {
      dismissed.clear();
      dismissed.putAll(undecided);
      undecided.clear();
    }
    return fingerprints;
  }

  List<RunningAttempt> removeSuspects(long nowMillis) {
    List<RunningAttempt> suspects = new ArrayList<>(cut.values());
    cut.clear();
    if (isProofInTime(nowMillis)) {
      suspects.addAll(undecided.values());
      suspects.addAll(dismissed.values());
    }
    undecided.clear();
    dismissed.clear();
    return suspects;
  }

  void forget(long fingerprint) {
    cut.values().removeIf(run -> run.hasFingerprint(fingerprint));
    undecided.values().removeIf(run -> run.hasFingerprint(fingerprint));
    dismissed.values().removeIf(run -> run.hasFingerprint(fingerprint));
  }

  boolean hasCut(long fingerprint) {
    return cut.values().stream().anyMatch(run -> run.hasFingerprint(fingerprint));
  }

  static List<Long> fingerprints(Map<AttemptKey, RunningAttempt> attempts) {
    return attempts.values().stream().map(run -> run.fingerprint).distinct().toList();
  }
}
