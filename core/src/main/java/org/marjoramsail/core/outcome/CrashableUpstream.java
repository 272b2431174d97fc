package org.marjoramsail.core.outcome;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.marjoramsail.core.model.UpstreamName;

/**
 * Tracks the attempts on an upstream that may have caused a crash of it.
 *
 * <p>An attempt whose connection is cut waits for a proof of a crash. If none arrives in time, it
 * is undecided; a proof that follows soon still makes it a suspect. If a response disproves the
 * crash, it is dismissed; then only a restart of the upstream makes it a suspect.
 */
final class CrashableUpstream {

  /** Longest delay, in milliseconds, with which a proof of a crash may follow a cut. */
  static final long LATE_PROOF_MILLIS = 15_000;

  /** Time before all others; half of the minimum, so that differences to it do not overflow. */
  private static final long NEVER = Long.MIN_VALUE / 2;

  /** Latest incarnation that was reported; zero if there was no report. */
  long incarnation;

  final Map<AttemptKey, RunningAttempt> running = new HashMap<>();

  /** Attempts whose connections were cut and that wait for a proof of a crash. */
  final Map<AttemptKey, RunningAttempt> cut = new HashMap<>();

  /** Cut attempts for which no proof arrived in time. */
  final Map<AttemptKey, RunningAttempt> undecided = new HashMap<>();

  /** Cut attempts after which a response disproved a crash; see {@link #dismissCuts}. */
  final Map<AttemptKey, RunningAttempt> dismissed = new HashMap<>();

  /** Time until which the cut attempts wait for a proof. */
  long decideAtMillis;

  /** Whether a crash is presumed without a proof, since several requests were cut together. */
  boolean presumed;

  long lastCutAtMillis;

  /** Start of the latest request or connection that reached the upstream. */
  long reachedAtMillis = NEVER;

  /** Sequence of the last attempt that started before another upstream took over the address. */
  long takenOverSequence;

  /** Incarnation whose running attempts became suspects last; negative if there is none. */
  long crashedIncarnation = -1;

  /** Returns whether cut attempts wait for a proof of a crash. */
  boolean isUnsettled() {
    return !cut.isEmpty();
  }

  /** Returns whether a proof would still show a crash after a cut. */
  boolean mayHaveCrashed(long nowMillis) {
    return isUnsettled() || (!undecided.isEmpty() && isProofInTime(nowMillis));
  }

  /** Returns whether a proof that arrives now still applies to the attempts that were cut last. */
  boolean isProofInTime(long nowMillis) {
    return nowMillis - lastCutAtMillis <= LATE_PROOF_MILLIS;
  }

  /**
   * Returns whether another upstream was reached since the last cut of this one, or none was in use
   * before.
   *
   * @param all all upstreams
   */
  boolean isAnotherReached(Collection<CrashableUpstream> all) {
    boolean isAnotherInUse = false;
    for (CrashableUpstream other : all) {
      if (other != this) {
        if (other.reachedAtMillis > lastCutAtMillis) {
          return true;
        }
        isAnotherInUse |= other.reachedAtMillis > lastCutAtMillis - LATE_PROOF_MILLIS;
      }
    }
    return !isAnotherInUse;
  }

  /** Returns the cut attempts that wait for a proof; none if a crash is presumed. */
  Stream<OpenCut> openCuts(UpstreamName name) {
    return presumed ? Stream.empty() : cut.values().stream().map(run -> new OpenCut(name, run));
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

  /** Removes and returns the cut attempts that a crash which is proven now makes suspects. */
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

  /** Removes the cut attempts with a content, which is cleared. */
  void removeCuts(long fingerprint) {
    cut.values().removeIf(run -> run.hasFingerprint(fingerprint));
    undecided.values().removeIf(run -> run.hasFingerprint(fingerprint));
    dismissed.values().removeIf(run -> run.hasFingerprint(fingerprint));
  }

  boolean hasCut(long fingerprint) {
    return cut.values().stream().anyMatch(run -> run.hasFingerprint(fingerprint));
  }

  /** Returns whether a proof that follows would make a content a suspect. */
  boolean mayProve(long fingerprint) {
    return Stream.of(cut, undecided, dismissed)
        .flatMap(runs -> runs.values().stream())
        .anyMatch(run -> run.hasFingerprint(fingerprint));
  }

  static List<Long> fingerprints(Map<AttemptKey, RunningAttempt> attempts) {
    return attempts.values().stream().map(run -> run.fingerprint).distinct().toList();
  }
}
