package org.marjoramsail.core.placement;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.marjoramsail.core.configuration.Configuration;
import org.marjoramsail.core.failure.Refusal;
import org.marjoramsail.core.feedback.RelayedFeedback;
import org.marjoramsail.core.model.DaemonId;
import org.marjoramsail.core.model.RequestId;
import org.marjoramsail.core.model.ServiceClass;
import org.marjoramsail.core.model.UpstreamName;
import org.marjoramsail.core.model.UpstreamRole;

/**
 * Queues the attempts of one shard and reserves the prefill and the decode upstream together.
 *
 * <p>The decode slot is reserved before the prefill starts, so that no prompt is prefilled whose KV
 * cache cannot be transferred. An attempt that cannot start before its deadline is refused early,
 * with the state "not run".
 */
public final class ReservingPlacer implements Placer, CacheObserver, UsageSharing {

  /** Limits the waiting attempts whose missing resource is determined again for a view. */
  private static final int MAXIMUM_DIAGNOSED = 100;

  /** Cost of one plain request in the fair queueing between organisations, in tokens. */
  private static final double PLAIN_COST_TOKENS = 100;

  /** Cost of a generated token in prompt tokens; higher than one because it holds a slot. */
  private static final double OUTPUT_COST_TOKENS = 4;

  private static final long SHARE_REFRESH_MILLIS = 500;

  private static final long MINIMUM_RETRY_MILLIS = 1_000;

  private final ShardId shard;
  private final PlacementSettings settings;
  private final RandomGenerator random;
  private final ShardUpstreams upstreams;
  private final OwnerFeedback ownerFeedback;
  private final OrganisationTable organisations;
  private final PlacementEstimates estimates;
  private final UrgentCapacity urgentCapacity;
  private final UpstreamSelector selector;
  private final GrantFinder grantFinder;
  private final SlotReservations reservations;
  private final WaitEstimator waitEstimator;
  private final RoleAdvisor roles;
  private final ArrivalCheck arrivals;
  private final WaitingQueue queue = new WaitingQueue();
  private final Map<RequestId, WaitingAttempt> waiting = new HashMap<>();
  private final AttemptTombstones tombstones = new AttemptTombstones();
  private final RetryingCallers retryingCallers = new RetryingCallers();
  private final Map<PlacementCounter, Long> counters = new EnumMap<>(PlacementCounter.class);

  private long nextSequence;
  private long refreshAt = Long.MIN_VALUE;

  /** Creates a placer; see {@link PlacerSetup#isTakenOver()} for a change of owner. */
  public ReservingPlacer(PlacerSetup setup, long nowMillis) {
    this.shard = setup.shard();
    this.settings = setup.settings();
    this.random = setup.random();
    this.organisations =
        new OrganisationTable(shard, setup.random().nextLong(), setup.isTakenOver(), nowMillis);
    this.estimates = new PlacementEstimates(settings);
    this.upstreams = new ShardUpstreams(settings, estimates.outputLengths());
    this.ownerFeedback = new OwnerFeedback(upstreams);
    this.urgentCapacity = new UrgentCapacity(upstreams, estimates);
    this.selector =
        new UpstreamSelector(
            upstreams, estimates, setup, queue::awaitedVersions, urgentCapacity, nowMillis);
    this.grantFinder = new GrantFinder(queue, selector, urgentCapacity, waiting);
    this.reservations = new SlotReservations(upstreams, estimates);
    this.waitEstimator = new WaitEstimator(upstreams, queue, estimates, selector);
    this.roles = new RoleAdvisor(upstreams, estimates, settings);
    this.arrivals = new ArrivalCheck(shard, upstreams, settings, nowMillis);
    applyConfiguration(setup.configuration(), nowMillis);
  }

  @Override
  public List<PlacementResult> configure(Configuration configuration, long nowMillis) {
    applyConfiguration(configuration, nowMillis);
    organisations.refresh(nowMillis);
    List<PlacementResult> results = refuseContinuationsWithoutUpstream();
    dispatch(results, nowMillis);
    return results;
  }

  @Override
  public List<PlacementResult> place(PlacementRequest request, long nowMillis) {
    Optional<RunningAttempt> running = reservations.find(request.request());
    if (running.isPresent() && running.get().request().attempt() == request.attempt()) {
      // The entry daemon repeats the request because it did not receive the grant.
      count(PlacementCounter.GRANT_REPEATED);
      return List.of(new PlacementResult.Granted(request.entry(), running.get().grant()));
    }
    WaitingAttempt queued = waiting.get(request.request());
    boolean isQueued = queued != null && queued.request().attempt() >= request.attempt();
    boolean isOlder = running.filter(it -> it.request().attempt() > request.attempt()).isPresent();
    if (isQueued || isOlder || tombstones.isObsolete(request, nowMillis)) {
      count(PlacementCounter.LATE_PLACE_DROPPED);
      return List.of();
    }
    discard(request.request(), nowMillis);
    double leastMillis = selector.minimumMillis(request, nowMillis);
    boolean isIdle = waiting.isEmpty() && reservations.size() == 0;
    Optional<Refusal> refusal =
        arrivals.refusal(request, waiting.size(), leastMillis, isIdle, nowMillis);
    if (refusal.isPresent()) {
      return List.of(refused(request, refusal.get()));
    }
    WaitingAttempt attempt = enqueue(request, leastMillis, nowMillis);
    List<PlacementResult> results = dispatch(nowMillis);
    if (waiting.get(request.request()) == attempt) {
      diagnose(attempt, nowMillis);
      Optional<Refusal> predicted = waitEstimator.refusal(attempt, nowMillis);
      predicted.ifPresent(reason -> results.add(refuseWithRetry(attempt, reason, nowMillis)));
    }
    return results;
  }

  @Override
  public List<PlacementResult> restore(
      PlacementRequest request, Grant grant, AttemptPhase phase, long nowMillis) {
    boolean isKnown =
        reservations
            .find(request.request())
            .filter(attempt -> attempt.request().attempt() >= request.attempt())
            .isPresent();
    boolean isEnded = phase == AttemptPhase.ENDED || tombstones.isObsolete(request, nowMillis);
    if (isKnown || isEnded) {
      count(PlacementCounter.LATE_RESTORE_DROPPED);
      return List.of();
    }
    discard(request.request(), nowMillis);
    OrganisationState organisation = organisations.of(request.organisation());
    long bytes = selector.transferBytes(request);
    reservations.restore(request, grant, phase, organisation, bytes, nowMillis);
    count(PlacementCounter.RESTORED);
    return dispatch(nowMillis);
  }

  @Override
  public List<PlacementResult> report(AttemptReport report, long nowMillis) {
    Optional<RunningAttempt> found =
        reservations
            .find(report.request())
            .filter(attempt -> attempt.request().attempt() == report.attempt());
    if (found.isEmpty()) {
      count(PlacementCounter.LATE_REPORT_DROPPED);
      return List.of();
    }
    RunningAttempt attempt = found.get();
    upstreams.messageReceived(attempt.request().entry(), nowMillis);
    ownerFeedback.attemptReported(attempt, report, nowMillis);
    if (report.phase() == AttemptPhase.ENDED) {
      end(attempt, report, nowMillis);
    } else {
      report.result().ifPresent(result -> countFault(attempt, report, result, nowMillis));
      reservations.progress(attempt, report, nowMillis);
    }
    return dispatch(nowMillis);
  }

  @Override
  public void refund(RequestId request, long nowMillis) {
    reservations.find(request).ifPresent(attempt -> attempt.refund(nowMillis));
  }

  @Override
  public List<PlacementResult> withdraw(RequestId request, long nowMillis) {
    discard(request, nowMillis);
    return dispatch(nowMillis);
  }

  @Override
  public List<PlacementResult> load(LoadReport report, long nowMillis) {
    upstreams.find(report.upstream()).ifPresent(upstream -> upstream.report(report, nowMillis));
    return dispatch(nowMillis);
  }

  @Override
  public List<PlacementResult> acceptFeedback(
      RelayedFeedback feedback, DaemonId from, long nowMillis) {
    ownerFeedback.acceptFeedback(feedback, from, nowMillis);
    return dispatch(nowMillis);
  }

  @Override
  public List<AcceptedFeedback> takeAcceptedFeedback() {
    return ownerFeedback.takeAccepted();
  }

  @Override
  public List<PlacementResult> availability(
      UpstreamName upstream, boolean available, long nowMillis) {
    upstreams.find(upstream).ifPresent(found -> found.setListedAvailable(available, nowMillis));
    return dispatch(nowMillis);
  }

  @Override
  public void daemonRecovered(DaemonId daemon) {
    tombstones.daemonRecovered(daemon);
  }

  @Override
  public List<PlacementResult> daemonFailed(DaemonId daemon, long nowMillis) {
    tombstones.daemonFailed(daemon, nowMillis);
    upstreams.daemonFailed(daemon);
    List<RequestId> affected = new ArrayList<>();
    reservations.attemptsOf(daemon).forEach(attempt -> affected.add(attempt.request().request()));
    waiting.values().stream()
        .filter(
            attempt ->
                SlotReservations.isSameOrEarlierIncarnation(attempt.request().entry(), daemon))
        .forEach(attempt -> affected.add(attempt.request().request()));
    affected.forEach(request -> discard(request, nowMillis));
    return dispatch(nowMillis);
  }

  @Override
  public List<PlacementResult> tick(long nowMillis) {
    if (nowMillis >= refreshAt) {
      refreshAt = nowMillis + SHARE_REFRESH_MILLIS;
      organisations.refresh(nowMillis);
      upstreams.removeUnused();
    }
    List<PlacementResult> results = new ArrayList<>();
    Optional<WaitingAttempt> due = queue.nextDue(nowMillis);
    while (due.isPresent()) {
      handleDue(due.get(), results, nowMillis);
      due = queue.nextDue(nowMillis);
    }
    dispatch(results, nowMillis);
    return results;
  }

  @Override
  public boolean isWaiting() {
    return !waiting.isEmpty();
  }

  @Override
  public boolean hasReturned(RequestId request) {
    WaitingAttempt attempt = waiting.get(request);
    return attempt != null && attempt.hasReturned();
  }

  @Override
  public boolean holds(RequestId request) {
    return waiting.containsKey(request) || reservations.find(request).isPresent();
  }

  @Override
  public Optional<RoleChange> recommendedRoleChange(long nowMillis) {
    return roles.recommend(nowMillis);
  }

  @Override
  public void cacheEvent(CacheEvent event) {
    Optional<UpstreamState> upstream = upstreams.find(event.upstream());
    if (upstream.isEmpty()) {
      return;
    }
    PrefixIndex prefixes = upstream.get().prefixes();
    switch (event.kind()) {
      case STORED -> prefixes.add(event.hash());
      case REMOVED -> prefixes.remove(event.hash());
      case CLEARED -> prefixes.clear();
    }
  }

  @Override
  public OrganisationUsageMessage usage(long nowMillis) {
    return organisations.usage(nowMillis);
  }

  @Override
  public void receiveUsage(OrganisationUsageMessage message, long nowMillis) {
    organisations.receive(message, nowMillis);
  }

  @Override
  public void inherit(Map<String, OrganisationCredit> credits) {
    organisations.inherit(credits);
  }

  @Override
  public void fleetShare(double share, boolean isProvisional, long nowMillis) {
    organisations.fleetShare(share, isProvisional);
    upstreams.fleetShare(share);
    organisations.refresh(nowMillis);
  }

  /** Returns the number of occurrences of each event since the start. */
  public Map<PlacementCounter, Long> counters() {
    return upstreams.withIgnoredLoads(counters);
  }

  /** Returns the attempts that run or wait, divided by the usable slots; 1 means full. */
  public double load(long nowMillis) {
    int slots = 0;
    for (UpstreamState upstream : upstreams.all()) {
      boolean isTarget = upstream.role() != UpstreamRole.PREFILL;
      slots += isTarget && upstream.isUsable(nowMillis) ? upstream.slots() : 0;
    }
    return (reservations.size() + waiting.size()) / (double) Math.max(1, slots);
  }

  @Override
  public List<ShardView.UpstreamView> upstreamViews(long nowMillis) {
    return PlacementViews.upstreams(upstreams, estimates.decodeMillisPerToken(), nowMillis);
  }

  @Override
  public ShardView view(long nowMillis) {
    List<WaitingAttempt> inOrder = PlacementViews.inOrder(waiting.values());
    inOrder.stream().limit(MAXIMUM_DIAGNOSED).forEach(it -> diagnose(it, nowMillis));
    return PlacementViews.view(
        shard,
        upstreams,
        reservations,
        inOrder,
        organisations,
        waitEstimator,
        estimates.decodeMillisPerToken(),
        nowMillis);
  }

  /** Applies a configuration and discards attempts that ended with a restarted upstream. */
  private void applyConfiguration(Configuration configuration, long nowMillis) {
    ShardMap map = new ShardMap(configuration, settings.shardUpstreams());
    for (UpstreamName restarted : upstreams.define(map.upstreamsOf(shard), nowMillis)) {
      reservations.generatingOn(restarted).forEach(request -> discard(request, nowMillis));
    }
    organisations.configure(configuration, map.shards().size());
    selector.kvBytesPerToken(configuration.kvBytesPerToken(shard.service()));
  }

  /** Refuses continuations that wait for a software version of which no upstream is left. */
  private List<PlacementResult> refuseContinuationsWithoutUpstream() {
    List<PlacementResult> results = new ArrayList<>();
    for (WaitingAttempt attempt : List.copyOf(waiting.values())) {
      if (attempt.isContinuation()) {
        arrivals
            .withoutUpstream(attempt.request())
            .ifPresent(refusal -> results.add(refuse(attempt, refusal)));
      }
    }
    return results;
  }

  private WaitingAttempt enqueue(PlacementRequest request, double leastMillis, long nowMillis) {
    if (request.serviceClass() == ServiceClass.QUICK) {
      selector.quickRequestArrived(nowMillis);
    }
    OrganisationState organisation = organisations.of(request.organisation());
    organisation.placed(request.countedTokens(), random, nowMillis);
    WaitingAttempt attempt =
        new WaitingAttempt(
            request,
            organisation,
            nextSequence++,
            serviceMillis(request, leastMillis),
            selector.needsPrefillUpstream(request, nowMillis),
            request.serviceClass().isUsefulAfterTarget()
                && (retryingCallers.isExpectedRetry(request.contentHash(), nowMillis)
                    || request.returned()),
            settings,
            nowMillis);
    waiting.put(request.request(), attempt);
    queue.add(attempt);
    urgentCapacity.arrived(attempt, nowMillis);
    return attempt;
  }

  /**
   * Returns how long before its target an attempt has to start, in milliseconds.
   *
   * <p>For a plain request it covers the expected time to the response. Guards against lookups that
   * are granted just before their target and get their response just after it.
   */
  private long serviceMillis(PlacementRequest request, double leastMillis) {
    double targetWithin = Math.max(0, WaitingAttempt.targetWithinMillis(request));
    boolean isLearned = !request.isGeneration() && estimates.hasEnoughSamples();
    double expectedMillis = isLearned ? Math.min(estimates.holdMillis(), targetWithin / 2) : 0;
    return (long) Math.min(Math.max(leastMillis, expectedMillis), targetWithin);
  }

  private void handleDue(WaitingAttempt attempt, List<PlacementResult> results, long nowMillis) {
    if (attempt.expiresAt() > nowMillis) {
      queue.promote(attempt, nowMillis);
      count(PlacementCounter.PROMOTED);
      return;
    }
    diagnose(attempt, nowMillis);
    // Above a rate limit the attempt is refused at once, because newer requests would use up the
    // credit that it waits for.
    if (attempt.canWaitPastTarget() && attempt.missing() != MissingResource.ORGANISATION_RATE) {
      continueLate(attempt, results, nowMillis);
      return;
    }
    String detail =
        "The request lacked " + selector.describeMissing(attempt, nowMillis) + " for too long.";
    results.add(
        refuseWithRetry(
            attempt,
            Refusal.notRun(attempt.missing().reason(), detail, MINIMUM_RETRY_MILLIS),
            nowMillis));
  }

  /** Keeps an attempt waiting after its target unless its deadline cannot be met either. */
  private void continueLate(WaitingAttempt attempt, List<PlacementResult> results, long nowMillis) {
    queue.demote(attempt);
    count(PlacementCounter.WAITING_LATE);
    waitEstimator
        .refusal(attempt, nowMillis)
        .ifPresent(predicted -> results.add(refuseWithRetry(attempt, predicted, nowMillis)));
  }

  private PlacementResult refuseWithRetry(WaitingAttempt attempt, Refusal refusal, long nowMillis) {
    retryingCallers.recordRefusal(attempt.request().contentHash(), nowMillis);
    return refuse(attempt, refusal);
  }

  private List<PlacementResult> dispatch(long nowMillis) {
    List<PlacementResult> results = new ArrayList<>();
    dispatch(results, nowMillis);
    return results;
  }

  /** Grants waiting attempts in order of service until no further one fits. */
  private void dispatch(List<PlacementResult> results, long nowMillis) {
    boolean isProgressing = !waiting.isEmpty();
    while (isProgressing) {
      Optional<GrantFinder.PendingGrant> next = grantFinder.findNext(nowMillis);
      next.ifPresent(pending -> results.add(grant(pending, nowMillis)));
      isProgressing = next.isPresent() && !waiting.isEmpty();
    }
  }

  /** Stores in a waiting attempt the resource that it lacks now. */
  private void diagnose(WaitingAttempt attempt, long nowMillis) {
    Optional<MissingResource> limit = attempt.organisation().missing(nowMillis);
    if (limit.isPresent()) {
      attempt.missing(limit.get());
    } else {
      selector.select(attempt, nowMillis);
    }
  }

  private PlacementResult grant(GrantFinder.PendingGrant pending, long nowMillis) {
    WaitingAttempt attempt = pending.attempt();
    PlacementRequest request = attempt.request();
    waiting.remove(request.request());
    int prefillTokens =
        pending.choice().prefill().isPresent() ? pending.choice().uncachedTokens() : 0;
    queue.granted(attempt, cost(request, pending.choice()), prefillTokens, nowMillis);
    urgentCapacity.granted(attempt, pending.choice().target());
    count(PlacementCounter.GRANTED);
    if (pending.choice().mode() == GrantMode.LOCAL_PREFILL) {
      count(PlacementCounter.GRANTED_LOCAL_PREFILL);
    }
    if (pending.choice().mode().isTransferring() && !pending.choice().isPrefillNeeded()) {
      count(PlacementCounter.GRANTED_FOR_LIVE_KV);
    }
    Grant grant = reservations.grant(attempt, pending.choice(), nowMillis);
    return new PlacementResult.Granted(request.entry(), grant);
  }

  private double cost(PlacementRequest request, PlacementCandidate choice) {
    return request.isGeneration()
        ? choice.uncachedTokens() + OUTPUT_COST_TOKENS * estimates.outputTokens(request)
        : PLAIN_COST_TOKENS;
  }

  private void end(RunningAttempt attempt, AttemptReport report, long nowMillis) {
    AttemptResult result = report.result().orElse(AttemptResult.FAILED);
    if (result == AttemptResult.COMPLETED) {
      reservations.learnCompletion(attempt, report, nowMillis);
      attempt.target().ifPresent(target -> target.ejection().succeeded(nowMillis));
      attempt.prefill().ifPresent(prefill -> prefill.ejection().succeeded(nowMillis));
    }
    countFault(attempt, report, result, nowMillis);
    if (result == AttemptResult.FULL) {
      report
          .failedUpstream()
          .flatMap(upstreams::find)
          .ifPresent(full -> full.refusedAsFull(nowMillis));
    }
    reservations.release(attempt, nowMillis);
    tombstones.ended(report.request(), report.attempt(), nowMillis);
  }

  /**
   * Counts a fault of the failed upstream, also for an attempt without progress that still runs.
   */
  private void countFault(
      RunningAttempt attempt, AttemptReport report, AttemptResult result, long nowMillis) {
    if (!result.isUpstreamFault()) {
      return;
    }
    report
        .failedUpstream()
        .or(() -> Optional.of(attempt.grant().target()))
        .flatMap(upstreams::find)
        .ifPresent(upstream -> fault(upstream, result, nowMillis));
  }

  private void fault(UpstreamState upstream, AttemptResult result, long nowMillis) {
    if (result == AttemptResult.REFUSED) {
      upstream.refused(nowMillis);
    } else {
      upstreams.failed(upstream, nowMillis);
    }
  }

  /** Removes all attempts of a request and lets no late message restore them. */
  private void discard(RequestId request, long nowMillis) {
    WaitingAttempt queued = waiting.remove(request);
    if (queued != null) {
      queue.remove(queued);
      tombstones.ended(request, queued.request().attempt(), nowMillis);
    }
    Optional<RunningAttempt> running = reservations.find(request);
    if (running.isPresent()) {
      reservations.release(running.get(), nowMillis);
      tombstones.ended(request, running.get().request().attempt(), nowMillis);
    }
  }

  private PlacementResult refuse(WaitingAttempt attempt, Refusal refusal) {
    queue.remove(attempt);
    waiting.remove(attempt.request().request());
    return refused(attempt.request(), refusal);
  }

  private PlacementResult refused(PlacementRequest request, Refusal refusal) {
    count(PlacementCounter.REFUSED);
    return new PlacementResult.Refused(
        request.entry(), request.request(), request.attempt(), refusal);
  }

  private void count(PlacementCounter counter) {
    counters.merge(counter, 1L, Long::sum);
  }
}
