package org.marjoramsail.core.outcome;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.marjoramsail.core.model.RequestId;
import org.marjoramsail.core.model.UpstreamName;

/**
 * Finds the contents that crash upstreams, by what ran on each upstream that crashed.
 *
 * <p>Guards against the failure in which one request kills each upstream that runs it while its
 * caller, or this program's own retries, send it again: it shows as connections cut on one upstream
 * after another. All that ran on a crashed upstream is suspect and runs on apart from other
 * suspects, so that a second crash proves one content; the others are finished and cleared. A cut
 * alone proves no crash: it counts only once the upstream has a new incarnation or refuses
 * connections, or when several requests were cut at once and nothing disproves the crash in time.
 *
 * <p>Safe for several threads.
 */
public final class Quarantine {

  /** How many crashes of one content lead to its refusal. */
  public static final int CRASH_LIMIT = 2;

  private static final int DISTINCT_CUTS_OF_A_CRASH = 2;

  private record AttemptKey(RequestId request, int attempt) {}

  private record CrashId(UpstreamName upstream, long incarnation) {}

  private static final class Upstream {
    private long incarnation;
    private final Map<AttemptKey, Long> running = new HashMap<>();
    private final Map<AttemptKey, Long> cut = new HashMap<>();
    private long settleAtMillis;
    private long lastCutAtMillis;
    private long crashedIncarnation = -1;

    private boolean isUnsettled() {
      return !cut.isEmpty();
    }
  }

  private static final class Entry {
    private final Set<CrashId> crashes = new HashSet<>();
    private final Set<CrashId> cleared = new HashSet<>();
    private long expiresAtMillis;

    private int counted() {
      return (int) crashes.stream().filter(crash -> !cleared.contains(crash)).count();
    }
  }

  private final long lifetimeMillis;
  private final long settleMillis;
  private final int maximumEntries;
  private final Map<UpstreamName, Upstream> upstreams = new HashMap<>();
  private final Map<Long, Entry> entries = new LinkedHashMap<>();
  private final ArrayDeque<CrashReportMessage> outgoing = new ArrayDeque<>();

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
    this.maximumEntries = maximumEntries;
  }

  /** Takes that an attempt was sent to an upstream. */
  public synchronized void began(
      UpstreamName upstream, RequestId request, int attempt, long fingerprint) {
    upstream(upstream).running.put(new AttemptKey(request, attempt), fingerprint);
  }

  /** Takes that an attempt left an upstream without a sign of a crash. */
  public synchronized void left(UpstreamName upstream, RequestId request, int attempt) {
    upstream(upstream).running.remove(new AttemptKey(request, attempt));
  }

  /** Takes that the connection of an attempt was cut. */
  public synchronized void cut(
      UpstreamName upstream, RequestId request, int attempt, long nowMillis) {
    Upstream state = upstream(upstream);
    AttemptKey key = new AttemptKey(request, attempt);
    Long fingerprint = state.running.remove(key);
    if (fingerprint == null) {
      return;
    }
    if (!state.isUnsettled()) {
      state.settleAtMillis = nowMillis + settleMillis;
    }
    state.lastCutAtMillis = nowMillis;
    state.cut.put(key, fingerprint);
  }

  /** Takes that a content was answered in full, which clears it unless it is quarantined. */
  public synchronized void completed(long fingerprint) {
    Entry entry = entries.get(fingerprint);
    if (entry != null && entry.counted() < CRASH_LIMIT) {
      entry.cleared.addAll(entry.crashes);
    }
  }

  /**
   * Takes the incarnation that an upstream has; a new one proves a restart, the old one disproves a
   * crash before that moment.
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
      state.cut.clear();
    }
    state.incarnation = Math.max(state.incarnation, incarnation);
    return restarted;
  }

  /** Takes that an upstream refuses connections; after a cut that proves a crash. */
  public synchronized void refusesConnections(UpstreamName name, long nowMillis) {
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
    Entry entry = entries.get(fingerprint);
    int proven = entry == null ? 0 : entry.counted();
    if (proven >= CRASH_LIMIT) {
      return Suspicion.QUARANTINED;
    }
    long unsettled =
        upstreams.values().stream().filter(one -> one.cut.containsValue(fingerprint)).count();
    if (proven + unsettled >= CRASH_LIMIT) {
      return Suspicion.UNSETTLED;
    }
    return proven + unsettled > 0 ? Suspicion.SUSPECT : Suspicion.CLEAR;
  }

  /** Takes what another daemon says of a crash. */
  public synchronized void handle(CrashReportMessage message, long nowMillis) {
    CrashId crash = new CrashId(message.upstream(), message.incarnation());
    long expiresAtMillis = nowMillis + Math.min(lifetimeMillis, message.lifetimeMillis());
    for (long fingerprint : message.fingerprints()) {
      Entry entry = entry(fingerprint);
      entry.crashes.add(crash);
      if (message.lifted()) {
        entry.cleared.add(crash);
      }
      entry.expiresAtMillis = Math.max(entry.expiresAtMillis, expiresAtMillis);
    }
  }

  /** Takes the messages that the other daemons should get; each is given once. */
  public synchronized List<CrashReportMessage> takeMessages() {
    List<CrashReportMessage> messages = List.copyOf(outgoing);
    outgoing.clear();
    return messages;
  }

  /** The contents that are suspect or refused. */
  public synchronized List<QuarantineEntry> list(long nowMillis) {
    settleAndExpire(nowMillis);
    List<QuarantineEntry> result = new ArrayList<>();
    entries.forEach(
        (fingerprint, entry) -> {
          int counted = entry.counted();
          if (counted > 0) {
            Suspicion suspicion =
                counted >= CRASH_LIMIT ? Suspicion.QUARANTINED : Suspicion.SUSPECT;
            result.add(
                new QuarantineEntry(
                    fingerprint, suspicion, counted, entry.expiresAtMillis - nowMillis));
          }
        });
    return result;
  }

  /**
   * Clears a content, here and by message everywhere.
   *
   * @return whether there was anything to clear
   */
  public synchronized boolean lift(long fingerprint, long nowMillis) {
    Entry entry = entries.get(fingerprint);
    if (entry == null || entry.counted() == 0) {
      return false;
    }
    long restMillis = entry.expiresAtMillis - nowMillis;
    for (CrashId crash : entry.crashes) {
      if (entry.cleared.add(crash)) {
        outgoing.add(
            new CrashReportMessage(
                crash.upstream(), crash.incarnation(), List.of(fingerprint), restMillis, true));
      }
    }
    return true;
  }

  private void crashed(UpstreamName name, Upstream state, long nowMillis) {
    Set<Long> suspects = new HashSet<>(state.cut.values());
    state.cut.clear();
    if (state.crashedIncarnation != state.incarnation) {
      suspects.addAll(state.running.values());
      state.running.clear();
      state.crashedIncarnation = state.incarnation;
    }
    if (suspects.isEmpty()) {
      return;
    }
    CrashReportMessage message =
        new CrashReportMessage(
            name, state.incarnation, List.copyOf(suspects), lifetimeMillis, false);
    handle(message, nowMillis);
    outgoing.add(message);
  }

  private void settleAndExpire(long nowMillis) {
    upstreams.forEach(
        (name, state) -> {
          if (state.isUnsettled() && nowMillis >= state.settleAtMillis) {
            settle(name, state, nowMillis);
          }
        });
    entries.values().removeIf(entry -> nowMillis >= entry.expiresAtMillis);
  }

  private void settle(UpstreamName name, Upstream state, long nowMillis) {
    long distinct = state.cut.keySet().stream().map(AttemptKey::request).distinct().count();
    if (distinct >= DISTINCT_CUTS_OF_A_CRASH) {
      crashed(name, state, nowMillis);
    } else {
      state.cut.clear();
    }
  }

  private Upstream upstream(UpstreamName name) {
    return upstreams.computeIfAbsent(name, unused -> new Upstream());
  }

  private Entry entry(long fingerprint) {
    Entry known = entries.get(fingerprint);
    if (known != null) {
      return known;
    }
    if (entries.size() >= maximumEntries) {
      Iterator<Long> oldest = entries.keySet().iterator();
      oldest.next();
      oldest.remove();
    }
    Entry fresh = new Entry();
    entries.put(fingerprint, fresh);
    return fresh;
  }
}
