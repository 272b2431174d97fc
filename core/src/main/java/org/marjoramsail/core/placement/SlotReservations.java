package org.marjoramsail.core.placement;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.marjoramsail.core.model.DaemonId;
import org.marjoramsail.core.model.RequestId;
import org.marjoramsail.core.model.UpstreamName;

/**
 * Tracks the running attempts of one shard and what each of them reserves: a slot of its target
 * from grant to end, a slot and queue space of its prefill upstream until the prefill ends, and a
 * share of two network links until the first token.
 */
final class SlotReservations {

  private final Map<RequestId, RunningAttempt> running = new HashMap<>();
  private final ShardUpstreams upstreams;
  private final PlacementEstimates estimates;

  SlotReservations(ShardUpstreams upstreams, PlacementEstimates estimates) {
    this.upstreams = upstreams;
    this.estimates = estimates;
  }

  Optional<RunningAttempt> find(RequestId request) {
    return Optional.ofNullable(running.get(request));
  }

  Collection<RunningAttempt> all() {
    return running.values();
  }

  int size() {
    return running.size();
  }

  /** Reserves the chosen upstreams, which must have free slots. */
  Grant grant(WaitingAttempt attempt, PlacementCandidate choice, long nowMillis) {
    PlacementRequest request = attempt.request();
    Grant grant = choice.toGrant(request);
    requireFree(choice.target(), nowMillis);
    choice.target().reserve(request.alone(), nowMillis);
    choice.target().memory().reserve(request);
    if (request.isGeneration()) {
      estimates.learnHeldTokens(request);
    }
    if (choice.isPrefillNeeded()) {
      UpstreamState prefillUpstream = choice.prefill().orElse(choice.target());
      prefillUpstream.startPrefill(choice.uncachedTokens(), nowMillis);
      prefillUpstream.prefixes().addAll(request.prefixHashes());
    }
    choice
        .prefill()
        .ifPresent(prefillUpstream -> prefillUpstream.startTransfer(choice.transferBytes()));
    if (choice.prefill().isPresent() && choice.isPrefillNeeded()) {
      requireFree(choice.prefill().get(), nowMillis);
      choice.prefill().get().reserve(request.alone(), nowMillis);
    }
    if (choice.mode().isTransferring()) {
      choice.target().startTransfer(choice.transferBytes());
    }
    expectFirstOutput(request, choice, nowMillis);
    AttemptPhase phase =
        choice.isPrefillNeeded() ? AttemptPhase.PREFILLING : AttemptPhase.PREFILLED;
    RunningAttempt granted =
        new RunningAttempt(
            request,
            grant,
            attempt.organisation(),
            choice.prefill(),
            Optional.of(choice.target()),
            choice.uncachedTokens(),
            choice.transferBytes(),
            phase,
            nowMillis);
    granted.charge(nowMillis);
    addOutstanding(granted);
    running.put(request.request(), granted);
    return grant;
  }

  private void addOutstanding(RunningAttempt attempt) {
    attempt.costMillis(estimates.costMillis(attempt.request()));
    attempt.target().ifPresent(target -> target.addOutstanding(attempt.costMillis()));
  }

  /**
   * Starts to expect the first output: from the prefilling upstream, or from the target if no
   * prefill is needed.
   */
  private static void expectFirstOutput(
      PlacementRequest request, PlacementCandidate choice, long nowMillis) {
    if (!request.isGeneration()) {
      return;
    }
    UpstreamState upstream =
        choice.isPrefillNeeded() ? choice.prefill().orElse(choice.target()) : choice.target();
    double expected =
        choice.isPrefillNeeded() ? upstream.queueMillis(nowMillis) : choice.transferMillis();
    upstream
        .progressWatchdog()
        .awaitProgress(request.request(), request.entry(), expected, nowMillis);
  }

  /** Records an attempt that another owner granted, even if this exceeds the number of slots. */
  void restore(
      PlacementRequest request,
      Grant grant,
      AttemptPhase phase,
      OrganisationState organisation,
      long transferBytes,
      long nowMillis) {
    Optional<UpstreamState> prefill = grant.prefill().flatMap(upstreams::find);
    Optional<UpstreamState> target = upstreams.find(grant.target());
    boolean isPrefilling = phase == AttemptPhase.PREFILLING && grant.expectedPrefillMillis() > 0;
    AttemptPhase phaseReached =
        isPrefilling || phase == AttemptPhase.GENERATING ? phase : AttemptPhase.PREFILLED;
    RunningAttempt attempt =
        new RunningAttempt(
            request,
            grant,
            organisation,
            prefill,
            target,
            request.promptTokens(),
            grant.mode().isTransferring() ? transferBytes : 0,
            phaseReached,
            nowMillis);
    target.ifPresent(upstream -> upstream.adopt(request.alone()));
    target.ifPresent(upstream -> upstream.memory().reserve(request));
    if (isPrefilling) {
      prefill.ifPresent(upstream -> upstream.adopt(request.alone()));
      attempt
          .prefillingUpstream()
          .ifPresent(
              prefillUpstream -> prefillUpstream.startPrefill(attempt.uncachedTokens(), nowMillis));
    }
    if (phaseReached == AttemptPhase.GENERATING) {
      target.ifPresent(upstream -> upstream.memory().generationStarted(request, nowMillis));
    } else {
      prefill.ifPresent(upstream -> upstream.startTransfer(attempt.transferBytes()));
      target.ifPresent(upstream -> upstream.startTransfer(attempt.transferBytes()));
    }
    organisation.restored();
    addOutstanding(attempt);
    running.put(request.request(), attempt);
  }

  /**
   * Moves an attempt to a later phase; a report of a phase that it has already reached changes
   * nothing.
   */
  void progress(RunningAttempt attempt, AttemptReport report, long nowMillis) {
    boolean isOutdated = report.phase().compareTo(attempt.phase()) <= 0;
    if (isOutdated || report.phase() == AttemptPhase.ENDED) {
      return;
    }
    recordProgress(attempt, report.phase(), nowMillis);
    if (attempt.phase() == AttemptPhase.PREFILLING) {
      learnPrefill(attempt, report, nowMillis);
      releasePrefill(attempt, nowMillis);
    }
    if (report.phase() == AttemptPhase.GENERATING) {
      learnTransfer(attempt, nowMillis);
      releaseTransfer(attempt);
      attempt
          .target()
          .ifPresent(target -> target.memory().generationStarted(attempt.request(), nowMillis));
    }
    attempt.enter(report.phase(), nowMillis);
  }

  /** Releases everything that an attempt still reserves. */
  void release(RunningAttempt attempt, long nowMillis) {
    stopExpectingProgress(attempt);
    if (attempt.phase() == AttemptPhase.PREFILLING) {
      releasePrefill(attempt, nowMillis);
    }
    if (attempt.phase() != AttemptPhase.GENERATING) {
      releaseTransfer(attempt);
    }
    attempt.target().ifPresent(target -> target.addOutstanding(-attempt.costMillis()));
    attempt.target().ifPresent(target -> target.release(attempt.request().alone(), nowMillis));
    attempt.target().ifPresent(target -> target.memory().release(attempt.request()));
    attempt.organisation().ended();
    attempt.enter(AttemptPhase.ENDED, nowMillis);
    running.remove(attempt.request().request());
  }

  /** Updates the estimates of output lengths and slot hold times from a completed attempt. */
  void learnCompletion(RunningAttempt attempt, AttemptReport report, long nowMillis) {
    estimates.learnHold(nowMillis - attempt.startedAt());
    if (!attempt.request().isGeneration()) {
      upstreams.occupancy().learn(nowMillis - attempt.startedAt(), report.tookMillis());
      attempt.target().ifPresent(target -> learnPlain(attempt, target, report, nowMillis));
    }
    attempt.target().ifPresent(target -> target.progressWatchdog().progressMade(nowMillis));
    attempt.target().ifPresent(target -> target.failures().ended(false, nowMillis));
    if (attempt.phase() == AttemptPhase.GENERATING) {
      long generatingMillis = nowMillis - attempt.phaseStartedAt();
      estimates.learnOutput(attempt.request(), report.outputTokens(), generatingMillis);
      attempt
          .target()
          .filter(target -> report.outputTokens() > 0)
          .ifPresent(
              target ->
                  target.learnSpeed(
                      (double) generatingMillis / report.outputTokens(), attempt.startedAt()));
      double localPrefillMillis =
          attempt
              .target()
              .map(it -> it.recentLocalPrefills().longestMillisAfter(attempt.phaseStartedAt()))
              .orElse(0.0);
      estimates.learnPause(attempt.request(), report.longestPauseMillis(), localPrefillMillis);
    }
  }

  /** Updates the cost of the route and the speed of the upstream, each corrected by the other. */
  private void learnPlain(
      RunningAttempt attempt, UpstreamState target, AttemptReport report, long nowMillis) {
    if (report.tookMillis() <= 0) {
      return;
    }
    double expected = estimates.costMillis(attempt.request());
    double slowdown = 1 + target.momentaryLoad().delayMillis(expected, nowMillis) / expected;
    double usualMillis = report.tookMillis() / slowdown;
    double timeFactor = upstreams.timeFactor(target, nowMillis);
    target.learnSpeed(usualMillis / expected, attempt.startedAt());
    estimates.learnPlainCost(attempt.request(), usualMillis / timeFactor);
  }

  /**
   * Records the progress by which a phase was reached, and expects the next: the first output
   * chunk.
   */
  private static void recordProgress(RunningAttempt attempt, AttemptPhase reached, long nowMillis) {
    stopExpectingProgress(attempt);
    if (reached == AttemptPhase.PREFILLED) {
      PlacementRequest request = attempt.request();
      double expected = attempt.grant().expectedTransferMillis();
      attempt.prefill().ifPresent(prefill -> prefill.progressWatchdog().progressMade(nowMillis));
      attempt
          .target()
          .map(UpstreamState::progressWatchdog)
          .ifPresent(
              watchdog ->
                  watchdog.awaitProgress(request.request(), request.entry(), expected, nowMillis));
    } else {
      attempt.target().ifPresent(target -> target.progressWatchdog().progressMade(nowMillis));
    }
  }

  private static void stopExpectingProgress(RunningAttempt attempt) {
    RequestId request = attempt.request().request();
    attempt.prefill().ifPresent(prefill -> prefill.progressWatchdog().stopAwaiting(request));
    attempt.target().ifPresent(target -> target.progressWatchdog().stopAwaiting(request));
  }

  private void releasePrefill(RunningAttempt attempt, long nowMillis) {
    attempt
        .prefillingUpstream()
        .ifPresent(
            prefillUpstream -> prefillUpstream.endPrefill(attempt.uncachedTokens(), nowMillis));
    attempt.prefill().ifPresent(prefill -> prefill.release(attempt.request().alone(), nowMillis));
  }

  private static void releaseTransfer(RunningAttempt attempt) {
    attempt.prefill().ifPresent(upstream -> upstream.endTransfer(attempt.transferBytes()));
    attempt.target().ifPresent(upstream -> upstream.endTransfer(attempt.transferBytes()));
  }

  private static void learnPrefill(RunningAttempt attempt, AttemptReport report, long nowMillis) {
    Optional<UpstreamState> prefillUpstream = attempt.prefillingUpstream();
    if (prefillUpstream.isEmpty()) {
      return;
    }
    int cached = report.cachedPromptTokens();
    int promptTokens = attempt.request().promptTokens();
    if (report.tookMillis() > 0) {
      int uncachedTokens = Math.max(1, promptTokens - cached);
      prefillUpstream.get().learnPrefill(uncachedTokens, report.tookMillis(), nowMillis);
    }
    // The prefix index lags behind the engine's cache events: blocks that the engine did not have
    // are removed, and those of the prompt that it has just prefilled are added.
    if (cached < attempt.expectedCachedTokens()) {
      int cachedBlocks = cached / UpstreamSelector.BLOCK_TOKENS;
      prefillUpstream.get().prefixes().removeBeyond(attempt.request().prefixHashes(), cachedBlocks);
    }
    prefillUpstream.get().prefixes().addAll(attempt.request().prefixHashes());
  }

  private void learnTransfer(RunningAttempt attempt, long nowMillis) {
    boolean isMeasured =
        attempt.phase() == AttemptPhase.PREFILLED && attempt.grant().mode().isTransferring();
    boolean isOnlyTransfer =
        attempt.prefill().stream().allMatch(up -> up.linkBytes() == attempt.transferBytes())
            && attempt.target().stream().allMatch(up -> up.linkBytes() == attempt.transferBytes());
    if (isMeasured && isOnlyTransfer) {
      estimates.learnTransfer(attempt.transferBytes(), nowMillis - attempt.phaseStartedAt());
    }
  }

  /**
   * Requires a free slot: an engine that gets more requests than it has slots fails them or slows
   * down all others.
   */
  private static void requireFree(UpstreamState upstream, long nowMillis) {
    if (upstream.freeSlots(nowMillis) <= 0) {
      throw new IllegalStateException(
          "A " + upstream.role() + " upstream has no free slot: " + upstream.name() + ".");
    }
  }

  /** Returns the requests for which an upstream generates output according to the reports. */
  List<RequestId> generatingOn(UpstreamName upstream) {
    return running.values().stream()
        .filter(attempt -> attempt.phase() == AttemptPhase.GENERATING)
        .filter(attempt -> attempt.grant().target().equals(upstream))
        .map(attempt -> attempt.request().request())
        .toList();
  }

  List<RunningAttempt> attemptsOf(DaemonId daemon) {
    return running.values().stream()
        .filter(attempt -> isSameOrEarlierIncarnation(attempt.request().entry(), daemon))
        .toList();
  }

  /**
   * Returns whether {@code entry} is the failed incarnation or an earlier incarnation of its host's
   * daemon.
   */
  static boolean isSameOrEarlierIncarnation(DaemonId entry, DaemonId failed) {
    return entry.equals(failed) || failed.supersedes(entry);
  }
}
