package org.marjoramsail.core.outcome;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.marjoramsail.core.message.PeerMessage;
import org.marjoramsail.core.model.DaemonId;
import org.marjoramsail.core.model.RequestId;
import org.marjoramsail.core.model.SoftwareVersion;
import org.marjoramsail.core.model.UpstreamName;

/**
 * Finds the contents that crash upstreams, from what ran on each upstream that crashed.
 *
 * <p>Guards against a request that crashes every upstream that runs it while its caller, or this
 * program's own retries, send it again. Every attempt on a crashed upstream makes its content a
 * suspect, including attempts whose cancel is not confirmed. The rules:
 *
 * <ol>
 *   <li>A suspect runs only on upstreams that cannot hold another suspect.
 *   <li>A content is refused when it was on two crashed upstreams and no other content was on all
 *       of them.
 *   <li>Where several contents were on the same crashed upstreams, they are retried one after
 *       another: first those that gave output on the upstream that crashed, then those that started
 *       first. A content whose request completes is cleared; the last one left is refused without a
 *       further crash.
 *   <li>A content whose crashes are explained by a refused one is retried at once.
 *   <li>Upstreams that crashed before the content was sent to one of them with knowledge of another
 *       count once; the content is then retried on one upstream at a time, see {@link
 *       ContentTrials}.
 * </ol>
 *
 * <p>So a content is never refused because of another one on the same upstream. A cut, a connection
 * that broke, alone does not prove a crash: it counts only once the upstream has a new incarnation,
 * refuses connections or has lost its address to another. Contents that lost their connections at
 * the same time are kept apart until the next report of the upstream's incarnation proves or
 * disproves the crash. Other daemons are informed of a cut at once, and treat it like one of their
 * own until the proof or disproof arrives or the same time has passed.
 *
 * <p>Safe for several threads.
 */
public final class Quarantine {

  /** Number of crashes after which a content is refused. */
  public static final int CRASH_LIMIT = 2;

  /** Number of requests that are cut at once for which a crash is presumed without a proof. */
  private static final int CUT_REQUESTS_OF_PRESUMED_CRASH = 2;

  /** Proof of a crash: a later incarnation of the upstream. */
  private static final String RESTARTED = "restarted";

  /** Proof of a crash: the upstream refuses connections. */
  private static final String REFUSED = "refuses connections";

  /** Proof of a crash: another upstream listens at the address. */
  private static final String REPLACED = "address taken over";

  private static final Comparator<RunningAttempt> LEAST_LIKELY_FIRST =
      Comparator.<RunningAttempt, Boolean>comparing(run -> !run.outputReceived)
          .thenComparing(run -> run.sequence);

  private final long lifetimeMillis;
  private final long settleMillis;
  private final Map<UpstreamName, CrashableUpstream> upstreams = new HashMap<>();
  private final CrashRecords records;
  private final PromptPartQuarantine promptParts;
  private final ReportedCuts reportedCuts;
  private final Function<UpstreamName, Optional<SoftwareVersion>> versions;
  private final QuarantineListener listener;
  private final OutgoingCrashReports outgoing;
  private final ContentTrials trials;
  private final String self;
  private final OutgoingCuts outgoingCuts;
  private long sequence;

  /** Creates a quarantine without suspects for upstreams whose software versions are not known. */
  public Quarantine(
      long lifetimeMillis, long settleMillis, int maximumEntries, QuarantineListener listener) {
    this("", lifetimeMillis, settleMillis, maximumEntries, listener, unused -> Optional.empty());
  }

  /**
   * Creates a quarantine without suspects.
   *
   * @param self the host of this daemon
   * @param lifetimeMillis time for which a crash is stored
   * @param settleMillis time for which a cut waits for a proof of a crash
   * @param maximumEntries maximum number of contents; the oldest is removed first
   * @param listener receives each change
   * @param versions returns the software version of an upstream, if known
   */
  public Quarantine(
      String self,
      long lifetimeMillis,
      long settleMillis,
      int maximumEntries,
      QuarantineListener listener,
      Function<UpstreamName, Optional<SoftwareVersion>> versions) {
    this(
        self,
        lifetimeMillis,
        settleMillis,
        maximumEntries,
        listener,
        versions,
        PromptPartQuarantine.CRASH_LIMIT);
  }

  /** Creates a quarantine without suspects that refuses prompt parts after a number of crashes. */
  Quarantine(
      String self,
      long lifetimeMillis,
      long settleMillis,
      int maximumEntries,
      QuarantineListener listener,
      Function<UpstreamName, Optional<SoftwareVersion>> versions,
      int partCrashLimit) {
    this.lifetimeMillis = lifetimeMillis;
    this.settleMillis = settleMillis;
    this.records = new CrashRecords(maximumEntries);
    this.outgoing = new OutgoingCrashReports(records);
    this.trials = new ContentTrials(self, records);
    this.self = self;
    this.promptParts = new PromptPartQuarantine(lifetimeMillis, partCrashLimit, listener);
    this.reportedCuts = new ReportedCuts(settleMillis);
    this.outgoingCuts = new OutgoingCuts(settleMillis);
    this.versions = versions;
    this.listener = listener;
  }

  /** Records that an attempt that generates no output was sent to an upstream. */
  public void started(UpstreamName upstream, RequestId request, int attempt, long fingerprint) {
    started(upstream, request, attempt, fingerprint, List.of());
  }

  /** Records that an attempt whose prompt has shared parts was sent to an upstream. */
  public synchronized void started(
      UpstreamName upstream,
      RequestId request,
      int attempt,
      long fingerprint,
      List<SharedPromptPart> parts) {
    Optional<SoftwareVersion> version =
        parts.isEmpty() ? Optional.empty() : versions.apply(upstream);
    RunningAttempt run =
        new RunningAttempt(fingerprint, parts, version, ++sequence, evidence(fingerprint));
    upstream(upstream).running.put(new AttemptKey(request, attempt), run);
  }

  /** Returns the independent crashes with a content; a cut counts, since a proof may follow. */
  private int evidence(long fingerprint) {
    boolean isCut =
        upstreams.values().stream().anyMatch(upstream -> upstream.mayProve(fingerprint))
            || reportedCuts.hasContent(fingerprint);
    return records.evidence(fingerprint) + (isCut ? 1 : 0);
  }

  /** Records that an attempt gave output, so that its start did not crash the upstream. */
  public void outputReceived(UpstreamName upstream, RequestId request, int attempt) {
    outputReceived(upstream, request, attempt, 0);
  }

  /**
   * Records that an attempt gave output, so that neither its start nor its parts crash upstreams.
   */
  public synchronized void outputReceived(
      UpstreamName upstream, RequestId request, int attempt, long nowMillis) {
    RunningAttempt run = upstream(upstream).running.get(new AttemptKey(request, attempt));
    if (run != null && !run.outputReceived) {
      run.outputReceived = true;
      promptParts.outputReceived(run.parts, run.version, upstream, nowMillis);
    }
  }

  /** Records that an attempt ended on an upstream without an indication of a crash. */
  public synchronized void released(UpstreamName upstream, RequestId request, int attempt) {
    upstream(upstream).running.remove(new AttemptKey(request, attempt));
  }

  /** Records that the connection of an attempt was cut. */
  public synchronized void connectionLost(
      UpstreamName upstream, RequestId request, int attempt, long nowMillis) {
    CrashableUpstream state = upstream(upstream);
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
    changed(QuarantineChange.Kind.CUT, upstream, List.of(run.fingerprint), request.value());
    outgoingCuts.cut(upstream, run, nowMillis);
    if (run.sequence <= state.takenOverSequence) {
      crashed(upstream, state, REPLACED, nowMillis);
    }
  }

  /** Handles the report of a cut from another daemon. */
  public synchronized void handle(DaemonId from, CutMessage message, long nowMillis) {
    reportedCuts.handle(from, message, nowMillis);
    List<Long> contents = message.suspects().stream().map(PartSuspects::content).toList();
    changed(
        message.isDisproof()
            ? QuarantineChange.Kind.DISPROVED_BY_REPORT
            : QuarantineChange.Kind.CUT_REPORTED,
        message.upstream(),
        contents,
        from.host());
  }

  /** Removes and returns the messages on cuts for the other daemons; each is returned once. */
  public synchronized List<CutMessage> takeCutMessages() {
    return outgoingCuts.take();
  }

  /** Returns the cuts here and on other daemons after which a crash may still be proven. */
  private Stream<OpenCut> openCuts(long nowMillis) {
    return Stream.concat(
        upstreams.entrySet().stream().flatMap(one -> one.getValue().openCuts(one.getKey())),
        reportedCuts.open(nowMillis));
  }

  /**
   * Records that a request with this content completed, which clears it unless it is quarantined.
   */
  public synchronized void completed(long fingerprint, long nowMillis) {
    if (records.suspicion(fingerprint) != Suspicion.QUARANTINED) {
      upstreams.values().forEach(one -> one.removeCuts(fingerprint));
      reportedCuts.remove(fingerprint);
      clear(fingerprint, "completed", nowMillis);
    }
  }

  /**
   * Handles the incarnation of an upstream; a newer one proves a restart, the same one disproves a
   * crash before that moment.
   *
   * @param name the upstream
   * @param incarnation incarnation that it reported
   * @param asOfMillis moment at which the report was certainly valid, on the clock of this daemon;
   *     a response that was in flight during a cut proves nothing
   * @param nowMillis the current time
   * @return whether the upstream has restarted since its last report
   */
  public synchronized boolean incarnation(
      UpstreamName name, long incarnation, long asOfMillis, long nowMillis) {
    CrashableUpstream state = upstream(name);
    boolean restarted = state.incarnation != 0 && state.incarnation < incarnation;
    if (restarted) {
      crashed(name, state, RESTARTED, nowMillis);
    } else if (state.incarnation == incarnation && asOfMillis > state.lastCutAtMillis) {
      List<Long> dismissed = state.dismissCuts();
      if (!dismissed.isEmpty()) {
        changed(QuarantineChange.Kind.DISPROVED, name, dismissed, "response");
        outgoingCuts.disproved(name);
      }
    }
    state.incarnation = Math.max(state.incarnation, incarnation);
    return restarted;
  }

  /**
   * Handles the incarnation that the list has for an upstream. The list shows incarnations in their
   * order, also where the clock of the upstream gives a later one an earlier start.
   *
   * @param startMillis start of the incarnation, which identifies it
   * @param connectionsEnded whether a connection to the upstream has ended since the last listing,
   *     without which an earlier start proves no crash
   */
  public synchronized ListedIncarnation listed(
      UpstreamName name, long startMillis, boolean connectionsEnded, long nowMillis) {
    CrashableUpstream state = upstream(name);
    ListedIncarnation result = ListedIncarnation.of(state.incarnation, startMillis);
    boolean isProof =
        result == ListedIncarnation.LATER_START
            || (result == ListedIncarnation.EARLIER_START && connectionsEnded);
    if (isProof) {
      crashed(name, state, RESTARTED, nowMillis);
    }
    state.incarnation = startMillis;
    return result;
  }

  /**
   * Records a response of the incarnation that was listed when its request was sent, which
   * disproves a crash before that moment.
   */
  public synchronized void responded(
      UpstreamName name, long startMillis, long sentAtMillis, long nowMillis) {
    CrashableUpstream state = upstream(name);
    if (state.incarnation == 0 || state.incarnation == startMillis) {
      incarnation(name, startMillis, sentAtMillis, nowMillis);
    }
  }

  /**
   * Records that an upstream refuses connections, which proves a crash after a cut.
   *
   * <p>Guards against a daemon that has lost its network paths, whose connections to all upstreams
   * are cut and refused: a refusal proves nothing until another upstream was reached after the cut,
   * unless no other is in use.
   */
  public synchronized void connectionsRefused(UpstreamName name, long nowMillis) {
    CrashableUpstream state = upstream(name);
    if (state.mayHaveCrashed(nowMillis) && state.isAnotherReached(upstreams.values())) {
      crashed(name, state, REFUSED, nowMillis);
    }
  }

  /**
   * Records that this daemon reached an upstream by its own network paths.
   *
   * @param asOfMillis when the request or the connection that reached it was started
   */
  public synchronized void reached(UpstreamName name, long asOfMillis) {
    CrashableUpstream state = upstream(name);
    state.reachedAtMillis = Math.max(state.reachedAtMillis, asOfMillis);
  }

  /**
   * Records that another upstream listens at the address of one, which proves a crash after a cut.
   *
   * <p>The list may show the other upstream before the cut is noticed, so that it also proves a
   * crash at a later cut of an attempt that started before.
   */
  public synchronized void addressTakenOver(UpstreamName name, long nowMillis) {
    CrashableUpstream state = upstream(name);
    state.takenOverSequence = sequence;
    if (state.mayHaveCrashed(nowMillis)) {
      crashed(name, state, REPLACED, nowMillis);
    }
  }

  /** Returns whether a proof would show that an upstream crashed after a cut. */
  public synchronized boolean mayHaveCrashed(UpstreamName name, long nowMillis) {
    return upstream(name).mayHaveCrashed(nowMillis);
  }

  /** Returns the upstreams with cut attempts whose crash is neither proven nor disproved. */
  public synchronized List<UpstreamName> unsettledUpstreams() {
    return upstreams.entrySet().stream()
        .filter(entry -> entry.getValue().isUnsettled())
        .map(Map.Entry::getKey)
        .toList();
  }

  /** Returns how requests with this content are to be handled now. */
  public synchronized Suspicion suspicion(long fingerprint, long nowMillis) {
    settleAndExpire(nowMillis);
    Suspicion proven = records.suspicion(fingerprint);
    if (proven == Suspicion.QUARANTINED) {
      return proven;
    }
    if (records.needsTrial(fingerprint)) {
      return mayTry(fingerprint, nowMillis) ? Suspicion.SUSPECT : Suspicion.UNSETTLED;
    }
    List<OpenCut> cuts =
        openCuts(nowMillis).filter(one -> one.run().hasFingerprint(fingerprint)).toList();
    long upstreamCount = cuts.stream().map(OpenCut::upstream).distinct().count();
    boolean mayBeRefusedSoon =
        upstreamCount > 0 && records.crashCount(fingerprint) + upstreamCount >= CRASH_LIMIT;
    if (proven == Suspicion.UNSETTLED || mayBeRefusedSoon) {
      return Suspicion.UNSETTLED;
    }
    boolean isCut =
        !cuts.isEmpty() || upstreams.values().stream().anyMatch(one -> one.hasCut(fingerprint));
    return isCut ? Suspicion.SUSPECT : proven;
  }

  /** Returns whether the trial of a content may start: one at a time, and not beside a cut. */
  private boolean mayTry(long fingerprint, long nowMillis) {
    return trials.isDue(fingerprint, nowMillis)
        && openCuts(nowMillis).noneMatch(cut -> cut.run().hasFingerprint(fingerprint))
        && upstreams.values().stream()
            .flatMap(upstream -> upstream.running.values().stream())
            .noneMatch(run -> run.hasFingerprint(fingerprint) && !run.outputReceived);
  }

  /** Returns the parts of a request that refuse it, since they have crashed upstreams. */
  public synchronized List<SharedPromptPart> refusingParts(
      List<SharedPromptPart> parts, long nowMillis) {
    return promptParts.refusing(parts, nowMillis);
  }

  /**
   * Returns whether a request has to wait for another one with the same suspected part. The other
   * one was sent by this daemon and still runs and has given no output, or it was cut, here or on
   * another daemon, and a crash of its upstream is neither proven nor disproved.
   */
  public synchronized boolean isPartOnTrial(List<SharedPromptPart> parts, long nowMillis) {
    if (parts.isEmpty()) {
      return false;
    }
    settleAndExpire(nowMillis);
    Set<Long> suspects = promptParts.suspects(parts, nowMillis);
    boolean isRunning =
        !suspects.isEmpty()
            && upstreams.values().stream()
                .flatMap(one -> one.running.values().stream())
                .anyMatch(run -> run.mayCrashWith(suspects));
    return isRunning
        || openCuts(nowMillis)
            .map(OpenCut::run)
            .anyMatch(run -> run.mayCrashWith(uncleared(parts, run.version, nowMillis)));
  }

  private Set<Long> uncleared(
      List<SharedPromptPart> parts, Optional<SoftwareVersion> version, long nowMillis) {
    return parts.stream()
        .filter(part -> !promptParts.isCleared(part, version, nowMillis))
        .map(SharedPromptPart::fingerprint)
        .collect(Collectors.toSet());
  }

  /** Handles a crash with suspected prompt parts that another daemon reported; returns a reply. */
  public synchronized Optional<PeerMessage> handle(
      DaemonId from, PartCrashMessage message, long nowMillis) {
    return promptParts.handle(from, message, nowMillis);
  }

  /** Handles the clearance of prompt parts by another daemon. */
  public synchronized void handle(DaemonId from, PartClearanceMessage message, long nowMillis) {
    promptParts.handle(from, message, nowMillis);
  }

  /** Removes and returns the messages on prompt parts for the other daemons. */
  public synchronized List<PeerMessage> takePartMessages() {
    return promptParts.takeMessages();
  }

  /** Returns a report of each stored crash that has suspected prompt parts. */
  public synchronized List<PartCrashMessage> partReports(long nowMillis) {
    return promptParts.reports(nowMillis);
  }

  /** Returns the prompt parts that are suspected or refused. */
  public synchronized List<PartEntry> parts(long nowMillis) {
    return promptParts.list(nowMillis);
  }

  /**
   * Lifts a prompt part here and, by message, on all other daemons.
   *
   * @return whether there was anything to lift
   */
  public synchronized boolean liftPart(long fingerprint, long nowMillis) {
    return promptParts.lift(fingerprint, nowMillis);
  }

  /** Returns the upstreams that may hold a suspect other than this content. */
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

  /** Handles the report of a crash from another daemon. */
  public synchronized void handle(DaemonId from, CrashReportMessage message, long nowMillis) {
    changed(
        message.lifted() ? QuarantineChange.Kind.CLEARED_BY_REPORT : QuarantineChange.Kind.REPORTED,
        message.upstream(),
        message.fingerprints(),
        from.host());
    reportedCuts.remove(from, message.upstream());
    record(message, from.host(), nowMillis);
  }

  private void record(CrashReportMessage message, String reporter, long nowMillis) {
    long expiresAtMillis = nowMillis + Math.min(lifetimeMillis, message.lifetimeMillis());
    Set<Long> refusedBefore = records.quarantined(message.fingerprints());
    records.add(message, reporter, nowMillis, expiresAtMillis);
    Set<Long> refusedNow = records.quarantined(message.fingerprints());
    refusedNow.removeAll(refusedBefore);
    for (long fingerprint : refusedNow) {
      String crashes = records.crashCount(fingerprint) + " crashes";
      changed(QuarantineChange.Kind.QUARANTINED, message.upstream(), List.of(fingerprint), crashes);
    }
  }

  /** Removes and returns the messages for the other daemons; each is returned once. */
  public synchronized List<CrashReportMessage> takeMessages() {
    return outgoing.take();
  }

  /** Returns a report of each stored crash, with the contents that are not cleared of it. */
  public synchronized List<CrashReportMessage> reports(long nowMillis) {
    records.expire(nowMillis);
    return outgoing.all(nowMillis);
  }

  /** Returns the contents that are suspect or refused. */
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
   * Clears a content here and, by message, on all other daemons.
   *
   * @return whether there was anything to clear
   */
  public synchronized boolean lift(long fingerprint, long nowMillis) {
    return clear(fingerprint, "operator", nowMillis);
  }

  private boolean clear(long fingerprint, String source, long nowMillis) {
    List<UpstreamName> crashed = outgoing.clear(fingerprint, nowMillis);
    for (UpstreamName upstream : crashed) {
      changed(QuarantineChange.Kind.CLEARED, upstream, List.of(fingerprint), source);
    }
    return !crashed.isEmpty();
  }

  private void crashed(UpstreamName name, CrashableUpstream state, String proof, long nowMillis) {
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
    CrashReportMessage message =
        OutgoingCrashReports.report(name, state.incarnation, runs, lifetimeMillis);
    List<Long> suspects = message.fingerprints();
    changed(QuarantineChange.Kind.CRASHED, name, suspects, proof);
    record(message, self, nowMillis);
    outgoing.add(message);
    promptParts.crashed(new CrashId(name, state.incarnation), runs, nowMillis);
  }

  private void settleAndExpire(long nowMillis) {
    upstreams.forEach((name, state) -> settle(name, state, nowMillis));
    records.expire(nowMillis);
  }

  private void settle(UpstreamName name, CrashableUpstream state, long nowMillis) {
    if (!state.isUnsettled() || nowMillis < state.decideAtMillis) {
      return;
    }
    long distinct = state.cut.keySet().stream().map(AttemptKey::request).distinct().count();
    state.presumed =
        distinct >= CUT_REQUESTS_OF_PRESUMED_CRASH
            && nowMillis < state.lastCutAtMillis + lifetimeMillis;
    if (!state.presumed) {
      changed(
          QuarantineChange.Kind.UNDECIDED,
          name,
          CrashableUpstream.fingerprints(state.cut),
          "no proof");
      state.leaveUndecided();
    }
  }

  private void changed(
      QuarantineChange.Kind kind, UpstreamName upstream, List<Long> fingerprints, String source) {
    listener.changed(new QuarantineChange(kind, upstream, fingerprints, source));
  }

  private CrashableUpstream upstream(UpstreamName name) {
    return upstreams.computeIfAbsent(name, unused -> new CrashableUpstream());
  }
}
