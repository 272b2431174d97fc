package org.marjoramsail.core.outcome;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.marjoramsail.core.model.RequestId;
import org.marjoramsail.core.model.UpstreamName;

/**
 * Finds the contents that crash upstreams, by what ran on each upstream that crashed.
 *
 * <p>Guards against the failure in which one request kills each upstream that runs it while its
 * caller, or this program's own retries, send it again: it shows as connections cut on one upstream
 * after another. All that was on a crashed upstream is suspect, also an attempt that was given up
 * and whose cancel is not confirmed. The rule:
 *
 * <ol>
 *   <li>A suspect is tried apart: on no upstream that may still hold another suspect.
 *   <li>A content is refused when it was on two crashed upstreams and no other content was on all
 *       of them: then it alone explains them.
 *   <li>Where several explain the same crashes, they are tried one after another: first those that
 *       showed life on the upstream that crashed, then those that were there longest. One that is
 *       answered is cleared, and the last one left alone is refused without a further crash.
 *   <li>A content whose crashes are explained by a refused one is tried at once.
 * </ol>
 *
 * <p>So an innocent content is never refused for what another did on the same upstream, be it that
 * the two were put together or that an upstream still held an attempt of it that had been cut. A
 * cut alone proves no crash: it counts only once the upstream has a new incarnation or refuses
 * connections. Several that were cut at once without a proof in time are kept apart until the
 * upstream is heard of again, which proves or disproves the crash.
 *
 * <p>Safe for several threads.
 */
public final class Quarantine {

  /** How many crashes of one content lead to its refusal. */
  public static final int CRASH_LIMIT = 2;

  private static final int CUT_REQUESTS_OF_PRESUMED_CRASH = 2;

  /** A list says that late at most that an upstream has started again, in milliseconds. */
  private static final long LATE_RESTART_MILLIS = 15_000;

  private record AttemptKey(RequestId request, int attempt) {}

  /** One attempt on an upstream. */
  private static final class RunningAttempt {
    private final long fingerprint;
    private final long sequence;
    private boolean outputReceived;

    private RunningAttempt(long fingerprint, long sequence) {
      this.fingerprint = fingerprint;
      this.sequence = sequence;
    }

    private boolean hasFingerprint(long other) {
      return fingerprint == other;
    }
  }

  private static final Comparator<RunningAttempt> LEAST_LIKELY_FIRST =
      Comparator.<RunningAttempt, Boolean>comparing(run -> !run.outputReceived)
          .thenComparing(run -> run.sequence);

  private static final class Upstream {
    private long incarnation;
    private final Map<AttemptKey, RunningAttempt> running = new HashMap<>();
    private final Map<AttemptKey, RunningAttempt> cut = new HashMap<>();
    private final Map<AttemptKey, RunningAttempt> dismissed = new HashMap<>();
    private long decideAtMillis;
    private boolean presumed;
    private long lastCutAtMillis;
    private long crashedIncarnation = -1;

    private boolean isUnsettled() {
      return !cut.isEmpty();
    }

    /**
     * Records that an answer came after the cuts, so that no crash explains them.
     *
     * <p>Guards against an upstream that crashed and was back under its name before the list said
     * so: its first answers look like those of the earlier life, and the content that crashed it
     * would be forgotten. When the new life shows, what was cut last is suspect after all.
     */
    private void dismissCuts() {
      if (!cut.isEmpty()) {
        dismissed.clear();
        dismissed.putAll(cut);
        cut.clear();
      }
    }

    private List<RunningAttempt> removeSuspects(long nowMillis) {
      List<RunningAttempt> suspects = new ArrayList<>(cut.values());
      cut.clear();
      if (nowMillis - lastCutAtMillis <= LATE_RESTART_MILLIS) {
        suspects.addAll(dismissed.values());
      }
      dismissed.clear();
      return suspects;
    }

    private void forget(long fingerprint) {
      cut.values().removeIf(run -> run.hasFingerprint(fingerprint));
      dismissed.values().removeIf(run -> run.hasFingerprint(fingerprint));
    }

    private boolean hasCut(long fingerprint) {
      return cut.values().stream().anyMatch(run -> run.hasFingerprint(fingerprint));
    }
  }

  private final long lifetimeMillis;
  private final long settleMillis;
  private final Map<UpstreamName, Upstream> upstreams = new HashMap<>();
  private final CrashRecords records;
  private final ArrayDeque<CrashReportMessage> outgoing = new ArrayDeque<>();
  private long sequence;

  /**
   * Starts without suspects.
   *
   * @param lifetimeMillis how long a crash is remembered
   * @param settleMillis how long a cut may wait for a proof
   * @param maximumEntries how many contents are remembered; the oldest is forgotten first
   */
  public Quarantine(long lifetimeMillis, long settleMillis, int maximumEntries) {
    this.lifetimeMillis = lifetimeMillis;
    this.settleMillis = settleMillis;
    this.records = new CrashRecords(maximumEntries);
  }

  /** Records that an attempt was sent to an upstream. */
  public synchronized void started(
      UpstreamName upstream, RequestId request, int attempt, long fingerprint) {
    RunningAttempt run = new RunningAttempt(fingerprint, ++sequence);
    upstream(upstream).running.put(new AttemptKey(request, attempt), run);
  }

  /** Records that an attempt has given tokens, so that running it did not crash its upstream. */
  public synchronized void outputReceived(UpstreamName upstream, RequestId request, int attempt) {
    RunningAttempt run = upstream(upstream).running.get(new AttemptKey(request, attempt));
    if (run != null) {
      run.outputReceived = true;
    }
  }

  /** Records that an attempt left an upstream without a sign of a crash. */
  public synchronized void released(UpstreamName upstream, RequestId request, int attempt) {
    upstream(upstream).running.remove(new AttemptKey(request, attempt));
  }

  /** Records that the connection of an attempt was cut. */
  public synchronized void connectionLost(
      UpstreamName upstream, RequestId request, int attempt, long nowMillis) {
    Upstream state = upstream(upstream);
    AttemptKey key = new AttemptKey(request, attempt);
    RunningAttempt run = state.running.remove(key);
    if (run == null) {
      return;
    }
    if (!state.isUnsettled() || state.presumed) {
      state.presumed = false;
      state.decideAtMillis = nowMillis + settleMillis;
    }
    state.lastCutAtMillis = nowMillis;
    state.cut.put(key, run);
  }

  /** Records that a content was answered in full, which clears it unless it is quarantined. */
  public synchronized void completed(long fingerprint, long nowMillis) {
    if (records.suspicion(fingerprint) != Suspicion.QUARANTINED) {
      upstreams.values().forEach(one -> one.forget(fingerprint));
      clear(fingerprint, nowMillis);
    }
  }

  /**
   * Handles the incarnation that an upstream has; a new one proves a restart, the old one disproves
   * a crash before that moment.
   *
   * @param name which upstream
   * @param incarnation what it said
   * @param asOfMillis the moment at which that was surely so, on the clock of this daemon; an
   *     answer that was under way during a cut proves nothing
   * @param nowMillis the time
   * @return whether the upstream has started anew since it was last heard of
   */
  public synchronized boolean incarnation(
      UpstreamName name, long incarnation, long asOfMillis, long nowMillis) {
    Upstream state = upstream(name);
    boolean restarted = state.incarnation != 0 && state.incarnation < incarnation;
    if (restarted) {
      crashed(name, state, nowMillis);
    } else if (state.incarnation == incarnation && asOfMillis > state.lastCutAtMillis) {
      state.dismissCuts();
    }
    state.incarnation = Math.max(state.incarnation, incarnation);
    return restarted;
  }

  /** Records that an upstream refuses connections; after a cut that proves a crash. */
  public synchronized void connectionsRefused(UpstreamName name, long nowMillis) {
    Upstream state = upstream(name);
    if (state.isUnsettled()) {
      crashed(name, state, nowMillis);
    }
  }

  /** The upstreams on which something was cut and nothing proves or disproves a crash yet. */
  public synchronized List<UpstreamName> unsettledUpstreams() {
    return upstreams.entrySet().stream()
        .filter(entry -> entry.getValue().isUnsettled())
        .map(Map.Entry::getKey)
        .toList();
  }

  /** What is to be done with a content now. */
  public synchronized Suspicion suspicion(long fingerprint, long nowMillis) {
    settleAndExpire(nowMillis);
    Suspicion proven = records.suspicion(fingerprint);
    List<Upstream> cut =
        upstreams.values().stream().filter(one -> one.hasCut(fingerprint)).toList();
    if (proven == Suspicion.QUARANTINED || cut.isEmpty()) {
      return proven;
    }
    long unsettled = cut.stream().filter(one -> !one.presumed).count();
    boolean mustWait =
        proven == Suspicion.UNSETTLED
            || (unsettled > 0 && records.crashCount(fingerprint) + unsettled >= CRASH_LIMIT);
    return mustWait ? Suspicion.UNSETTLED : Suspicion.SUSPECT;
  }

  /** The upstreams that may hold a suspect other than this content. */
  public synchronized List<UpstreamName> upstreamsWithOtherSuspects(long fingerprint) {
    return upstreams.entrySet().stream()
        .filter(
            entry ->
                Stream.concat(
                        entry.getValue().running.values().stream(),
                        entry.getValue().cut.values().stream())
                    .anyMatch(
                        run ->
                            run.fingerprint != fingerprint
                                && records.crashCount(run.fingerprint) > 0))
        .map(Map.Entry::getKey)
        .toList();
  }

  /** Handles what another daemon says of a crash. */
  public synchronized void handle(CrashReportMessage message, long nowMillis) {
    CrashId crash = new CrashId(message.upstream(), message.incarnation());
    long expiresAtMillis = nowMillis + Math.min(lifetimeMillis, message.lifetimeMillis());
    records.add(crash, message.fingerprints(), message.lifted(), expiresAtMillis);
  }

  /** Removes and returns the messages that the other daemons should get; each is given once. */
  public synchronized List<CrashReportMessage> takeMessages() {
    List<CrashReportMessage> messages = List.copyOf(outgoing);
    outgoing.clear();
    return messages;
  }

  /** The contents that are suspect or refused. */
  public synchronized List<QuarantineEntry> list(long nowMillis) {
    settleAndExpire(nowMillis);
    List<QuarantineEntry> result = new ArrayList<>();
    for (long fingerprint : records.fingerprints()) {
      int crashes = records.crashCount(fingerprint);
      if (crashes > 0) {
        result.add(
            new QuarantineEntry(
                fingerprint,
                records.suspicion(fingerprint),
                crashes,
                records.expiresAtMillis(fingerprint) - nowMillis));
      }
    }
    return result;
  }

  /**
   * Clears a content, here and by message everywhere.
   *
   * @return whether there was anything to clear
   */
  public synchronized boolean lift(long fingerprint, long nowMillis) {
    return clear(fingerprint, nowMillis);
  }

  private boolean clear(long fingerprint, long nowMillis) {
    List<CrashId> counted = records.clear(fingerprint);
    for (CrashId crash : counted) {
      outgoing.add(
          new CrashReportMessage(
              crash.upstream(),
              crash.incarnation(),
              List.of(fingerprint),
              records.expiresAtMillis(fingerprint) - nowMillis,
              true));
    }
    return !counted.isEmpty();
  }

  private void crashed(UpstreamName name, Upstream state, long nowMillis) {
    List<RunningAttempt> runs = state.removeSuspects(nowMillis);
    if (state.crashedIncarnation != state.incarnation) {
      runs.addAll(state.running.values());
      state.running.clear();
      state.crashedIncarnation = state.incarnation;
    }
    if (runs.isEmpty()) {
      return;
    }
    runs.sort(LEAST_LIKELY_FIRST);
    List<Long> suspects = runs.stream().map(run -> run.fingerprint).distinct().toList();
    CrashReportMessage message =
        new CrashReportMessage(name, state.incarnation, suspects, lifetimeMillis, false);
    handle(message, nowMillis);
    outgoing.add(message);
  }

  private void settleAndExpire(long nowMillis) {
    upstreams.values().forEach(state -> settle(state, nowMillis));
    records.expire(nowMillis);
  }

  private void settle(Upstream state, long nowMillis) {
    if (!state.isUnsettled() || nowMillis < state.decideAtMillis) {
      return;
    }
    long distinct = state.cut.keySet().stream().map(AttemptKey::request).distinct().count();
    state.presumed =
        distinct >= CUT_REQUESTS_OF_PRESUMED_CRASH
            && nowMillis < state.lastCutAtMillis + lifetimeMillis;
    if (!state.presumed) {
      state.cut.clear();
    }
  }

  private Upstream upstream(UpstreamName name) {
    return upstreams.computeIfAbsent(name, unused -> new Upstream());
  }
}
