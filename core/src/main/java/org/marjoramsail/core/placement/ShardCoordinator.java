package org.marjoramsail.core.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.marjoramsail.core.failure.Refusal;
import org.marjoramsail.core.failure.RefusalReason;
import org.marjoramsail.core.feedback.RelayedFeedback;
import org.marjoramsail.core.membership.MembershipView;
import org.marjoramsail.core.model.DaemonId;
import org.marjoramsail.core.model.RequestId;
import org.marjoramsail.core.placement.PlacementMessage.Holding;

/**
 * Coordinates the placement of one shard on the daemon that owns it.
 *
 * <p>It turns messages of entry daemons into calls of a {@link Placer} and the decisions of the
 * placer into messages. It releases attempts that their entry daemon no longer reports. Not
 * thread-safe; the I/O layer calls it under the lock of the shard.
 */
public final class ShardCoordinator {

  /**
   * A message for the I/O layer to send.
   *
   * @param to the entry daemon, which may be the owner itself
   * @param message the message
   */
  public record Outgoing(DaemonId to, PlacementMessage message) {}

  private static final class Registration {
    private final DaemonId entry;
    private final PlacementRequest request;
    private final int attempt;
    private long lastMessageMillis;
    private Grant grant;
    private Optional<Long> grantedMillis = Optional.empty();
    private long retriesCountedMillis;
    private boolean isCounted;

    Registration(DaemonId entry, PlacementRequest request, long lastMessageMillis) {
      this.entry = entry;
      this.request = request;
      this.attempt = request.attempt();
      this.lastMessageMillis = lastMessageMillis;
    }

    /** Returns the retries that are reserved for the attempt until it is granted. */
    int reservedRetries() {
      return grant == null ? mostRetries(request) : 0;
    }

    boolean matches(Holding holding) {
      return attempt == holding.attempt() && (grant != null || !holding.granted());
    }
  }

  private final ShardId shard;
  private final Placer placer;
  private final PlacementTimings timings;
  private final RetryBudget retries;
  private final Map<RequestId, Registration> registrations = new LinkedHashMap<>();
  private final OwnerShare share = new OwnerShare();
  private final StatisticsRecorder statistics = new StatisticsRecorder();
  private double appliedShare = 1;
  private boolean appliedProvisionally;
  private long lastSweepMillis;

  /**
   * Creates the coordinator of a shard that this daemon owns from now on.
   *
   * @param shard the shard
   * @param placer makes the decisions; called by this coordinator alone
   * @param timings the expiry of attempts that no entry daemon reports
   * @param retries limits the granted retries
   */
  public ShardCoordinator(
      ShardId shard, Placer placer, PlacementTimings timings, RetryBudget retries) {
    this.shard = shard;
    this.placer = placer;
    this.timings = timings;
    this.retries = retries;
  }

  /** Handles a message of an entry daemon. */
  public List<Outgoing> handle(DaemonId from, PlacementMessage message, long nowMillis) {
    share.contacted(from, nowMillis);
    updateShare(nowMillis);
    if (message.conditions().isEmpty()) {
      return decide(from, message, nowMillis);
    }
    List<Outgoing> result = new ArrayList<>();
    for (RelayedFeedback feedback : message.conditions()) {
      result.addAll(outgoing(placer.acceptFeedback(feedback, from, nowMillis), nowMillis));
    }
    result.addAll(decide(from, message, nowMillis));
    return result;
  }

  private List<Outgoing> decide(DaemonId from, PlacementMessage message, long nowMillis) {
    if (message instanceof PlacementMessage.Place place) {
      return place(from, place.request(), nowMillis);
    }
    if (message instanceof PlacementMessage.Restore restore) {
      return restore(from, restore, nowMillis);
    }
    if (message instanceof PlacementMessage.Report report) {
      return report(report.report(), nowMillis);
    }
    if (message instanceof PlacementMessage.Withdraw withdraw) {
      return withdraw(withdraw, nowMillis);
    }
    if (message instanceof PlacementMessage.Holdings holdings) {
      return holdings(from, holdings.held(), nowMillis);
    }
    return List.of();
  }

  /** Applies a membership view, and whether this daemon ranks first for the shard in it. */
  public void fleetChanged(MembershipView view, boolean ranksFirst, long nowMillis) {
    share.fleetChanged(view, ranksFirst, nowMillis);
    updateShare(nowMillis);
  }

  private void updateShare(long nowMillis) {
    double newShare = share.at(nowMillis);
    boolean isProvisional = share.isProvisional(nowMillis);
    boolean isChanged = newShare != appliedShare || isProvisional != appliedProvisionally;
    if (isChanged && placer instanceof UsageSharing sharing) {
      appliedShare = newShare;
      appliedProvisionally = isProvisional;
      sharing.fleetShare(newShare, isProvisional, nowMillis);
    }
  }

  /** Releases the attempts of a daemon that has failed. */
  public List<Outgoing> daemonFailed(DaemonId daemon, long nowMillis) {
    removeIf(registration -> registration.entry.equals(daemon));
    return outgoing(placer.daemonFailed(daemon, nowMillis), nowMillis);
  }

  /**
   * Records that a daemon that was declared failed is running.
   *
   * <p>Attempts that the daemon registered in the meantime were not queued by the placer. Their
   * registrations are removed, so that the daemon registers them again when it next sends its
   * holdings; otherwise they would stay registered as waiting and would never be granted.
   *
   * <p>Attempts that the placer does hold stay registered. Guards against slots that are held for
   * good: a daemon that has just started may place requests before its recovery is detected, and
   * without their registrations the ends of these requests would be ignored.
   */
  public void daemonRecovered(DaemonId daemon) {
    removeIf(
        registration ->
            registration.entry.equals(daemon) && !placer.holds(registration.request.request()));
    placer.daemonRecovered(daemon);
  }

  /** Applies an event about upstreams or configuration to the placer. */
  public List<Outgoing> apply(PlacerEvent event, long nowMillis) {
    return outgoing(event.applyTo(placer, nowMillis), nowMillis);
  }

  /**
   * Returns the usage of organisations to send to the owners of other shards; empty if there is
   * none.
   */
  public Optional<OrganisationUsageMessage> usage(long nowMillis) {
    return placer instanceof UsageSharing sharing
        ? Optional.of(sharing.usage(nowMillis)).filter(message -> !message.usages().isEmpty())
        : Optional.empty();
  }

  /** Runs the time-dependent work of the placer and releases expired attempts. */
  public List<Outgoing> tick(long nowMillis) {
    updateShare(nowMillis);
    List<Outgoing> result = new ArrayList<>(outgoing(placer.tick(nowMillis), nowMillis));
    if (nowMillis - lastSweepMillis >= timings.holdingsMillis()) {
      lastSweepMillis = nowMillis;
      result.addAll(releaseExpired(nowMillis));
    }
    return result;
  }

  /** Returns the upstream feedback accepted since the last call. */
  public List<AcceptedFeedback> takeAcceptedFeedback() {
    return placer.takeAcceptedFeedback();
  }

  /** Returns what was counted since the last call. */
  public ShardStatistics takeStatistics() {
    return statistics.take();
  }

  /** Returns the views of the upstreams only. */
  public List<ShardView.UpstreamView> upstreamViews(long nowMillis) {
    return placer.upstreamViews(nowMillis);
  }

  /** Returns whether no attempt is registered. */
  public boolean isEmpty() {
    return registrations.isEmpty();
  }

  /** Returns a recommended change of an engine's role, if there is one. */
  public Optional<RoleChange> recommendedRoleChange(long nowMillis) {
    return placer.recommendedRoleChange(nowMillis);
  }

  /** Returns whether an attempt waits for a grant. */
  public boolean isWaiting() {
    return !registrations.isEmpty() && placer.isWaiting();
  }

  /** Returns the running and waiting attempts. */
  public ShardView view(long nowMillis) {
    return placer.view(nowMillis);
  }

  private List<Outgoing> place(DaemonId from, PlacementRequest request, long nowMillis) {
    Registration existing = registrations.get(request.request());
    if (existing != null && existing.attempt > request.attempt()) {
      return List.of();
    }
    if (existing != null && existing.attempt == request.attempt()) {
      existing.lastMessageMillis = nowMillis;
      return List.of(new Outgoing(from, currentState(request, existing)));
    }
    List<Outgoing> result = new ArrayList<>();
    if (existing != null) {
      result.addAll(withdraw(request.request(), existing.attempt, nowMillis));
    }
    if (!retries.tryReserve(mostRetries(request), nowMillis)) {
      result.add(new Outgoing(from, refusedRetry(request, nowMillis)));
      return result;
    }
    registrations.put(request.request(), new Registration(from, request, nowMillis));
    result.addAll(outgoing(placer.place(request, nowMillis), nowMillis));
    Registration after = registrations.get(request.request());
    if (after != null && after.grant == null) {
      result.add(new Outgoing(from, currentState(request, after)));
    }
    return result;
  }

  private PlacementMessage currentState(PlacementRequest request, Registration registration) {
    if (registration.grant != null) {
      return new PlacementMessage.Granted(shard, registration.grant);
    }
    return new PlacementMessage.Queued(
        shard, request.request(), request.attempt(), placer.hasReturned(request.request()));
  }

  private List<Outgoing> restore(DaemonId from, PlacementMessage.Restore restore, long nowMillis) {
    PlacementRequest request = restore.request();
    List<Outgoing> result = new ArrayList<>();
    Registration existing = registrations.get(request.request());
    boolean isCurrent =
        existing != null
            && existing.attempt == request.attempt()
            && restore.grant().equals(existing.grant);
    if (isCurrent) {
      existing.lastMessageMillis = nowMillis;
    } else {
      if (existing != null) {
        result.addAll(withdraw(request.request(), existing.attempt, nowMillis));
      }
      Registration registration = new Registration(from, request, nowMillis);
      registration.grant = restore.grant();
      // A later phase was reported to an earlier owner, which counted the request then.
      registration.isCounted = restore.phase() != AttemptPhase.PREFILLING;
      registrations.put(request.request(), registration);
      registration.retriesCountedMillis = nowMillis;
      retries.retriesRestored(retriesOf(request, restore.grant()), nowMillis);
      result.addAll(
          outgoing(
              placer.restore(request, restore.grant(), restore.phase(), nowMillis), nowMillis));
    }
    result.add(new Outgoing(from, new PlacementMessage.Granted(shard, restore.grant())));
    return result;
  }

  private List<Outgoing> report(AttemptReport report, long nowMillis) {
    Registration existing = registrations.get(report.request());
    if (existing == null || existing.attempt != report.attempt()) {
      return List.of();
    }
    existing.lastMessageMillis = nowMillis;
    countRequest(existing, nowMillis);
    if (existing.grant == null) {
      // The entry daemon received its grant from another owner while the attempt still waited here.
      // The placer ignores the end of a waiting attempt; without this withdrawal it would later
      // grant the attempt and hold its slot for good.
      return report.phase() == AttemptPhase.ENDED
          ? withdraw(report.request(), report.attempt(), nowMillis)
          : List.of();
    }
    if (report.phase() == AttemptPhase.ENDED) {
      registrations.remove(report.request());
      recordCompletion(existing, report, nowMillis);
    }
    return outgoing(placer.report(report, nowMillis), nowMillis);
  }

  private List<Outgoing> withdraw(PlacementMessage.Withdraw message, long nowMillis) {
    Registration existing = registrations.get(message.request());
    boolean isUnsentGrant =
        message.unsent()
            && existing != null
            && existing.attempt == message.attempt()
            && existing.grant != null;
    if (isUnsentGrant) {
      retries.retriesReturned(
          retriesOf(existing.request, existing.grant), existing.retriesCountedMillis, nowMillis);
      placer.refund(message.request(), nowMillis);
    }
    return withdraw(message.request(), message.attempt(), nowMillis);
  }

  private List<Outgoing> withdraw(RequestId request, int attempt, long nowMillis) {
    Registration existing = registrations.get(request);
    if (existing == null || existing.attempt != attempt) {
      return List.of();
    }
    remove(request);
    return outgoing(placer.withdraw(request, nowMillis), nowMillis);
  }

  private List<Outgoing> holdings(DaemonId from, List<Holding> held, long nowMillis) {
    List<Holding> unknown = new ArrayList<>();
    List<Outgoing> result = new ArrayList<>();
    for (Holding holding : held) {
      Registration existing = registrations.get(holding.request());
      if (existing == null || !existing.matches(holding)) {
        unknown.add(holding);
        continue;
      }
      existing.lastMessageMillis = nowMillis;
      if (existing.grant != null && !holding.granted()) {
        // The grant message was lost: the slot is held but unused until the grant is sent again.
        result.add(new Outgoing(from, new PlacementMessage.Granted(shard, existing.grant)));
      }
    }
    result.add(new Outgoing(from, new PlacementMessage.Unknown(shard, unknown)));
    return result;
  }

  /**
   * Releases attempts that their entry daemon no longer reports.
   *
   * <p>Guards against a lost end or withdrawal, which would hold a slot for good, so that the pool
   * would seem full while its engines are idle. Entry daemons send their holdings several times
   * within the expiry.
   */
  private List<Outgoing> releaseExpired(long nowMillis) {
    Map<RequestId, Integer> expired = new HashMap<>();
    registrations.forEach(
        (request, registration) -> {
          if (nowMillis - registration.lastMessageMillis > timings.expiryMillis()) {
            expired.put(request, registration.attempt);
          }
        });
    List<Outgoing> result = new ArrayList<>();
    expired.forEach((request, attempt) -> result.addAll(withdraw(request, attempt, nowMillis)));
    return result;
  }

  private List<Outgoing> outgoing(List<PlacementResult> results, long nowMillis) {
    List<Outgoing> messages = new ArrayList<>(results.size());
    for (PlacementResult result : results) {
      Registration registration = registrations.get(result.request());
      if (registration == null) {
        continue;
      }
      if (result instanceof PlacementResult.Granted granted) {
        recordGrant(registration, granted.grant(), nowMillis);
        messages.add(
            new Outgoing(registration.entry, new PlacementMessage.Granted(shard, granted.grant())));
      } else if (result instanceof PlacementResult.Refused refused) {
        remove(refused.request());
        statistics.rejected(registration.request.urgency(), refused.refusal().reason());
        messages.add(
            new Outgoing(
                registration.entry,
                new PlacementMessage.Refused(
                    shard, refused.request(), refused.attempt(), refused.refusal())));
      }
    }
    return messages;
  }

  private void recordGrant(Registration registration, Grant grant, long nowMillis) {
    if (registration.grant == null) {
      retries.release(registration.reservedRetries());
      retries.retriesGranted(retriesOf(registration.request, grant), nowMillis);
      registration.retriesCountedMillis = nowMillis;
    }
    registration.grant = grant;
    registration.grantedMillis = registration.grantedMillis.or(() -> Optional.of(nowMillis));
  }

  private void recordCompletion(Registration ended, AttemptReport report, long nowMillis) {
    boolean isCompleted =
        report.result().filter(result -> result == AttemptResult.COMPLETED).isPresent();
    if (isCompleted && ended.grantedMillis.isPresent()) {
      statistics.completed(ended.grant, nowMillis - ended.grantedMillis.get());
    }
  }

  /** Counts a request at the first report on its first attempt, which proves that it started. */
  private void countRequest(Registration registration, long nowMillis) {
    boolean isFirstReport = registration.grant != null && !registration.isCounted;
    if (isFirstReport && !registration.request.isRepeat()) {
      registration.isCounted = true;
      retries.requestStarted(nowMillis);
    }
  }

  private void remove(RequestId request) {
    Registration removed = registrations.remove(request);
    if (removed != null) {
      retries.release(removed.reservedRetries());
    }
  }

  private void removeIf(Predicate<Registration> condition) {
    List<RequestId> removed =
        registrations.values().stream()
            .filter(condition)
            .map(registration -> registration.request.request())
            .toList();
    removed.forEach(this::remove);
  }

  /** Returns the most calls that an attempt may repeat, whichever upstreams it is granted. */
  private static int mostRetries(PlacementRequest request) {
    return request.priorCalls().repeatedBy(request.isGeneration());
  }

  private static int retriesOf(PlacementRequest request, Grant grant) {
    boolean fetchesKv = grant.prefill().isPresent() && grant.prefill().equals(request.kvHeldBy());
    return request.priorCalls().repeatedBy(grant.mode().isTransferring() && !fetchesKv);
  }

  private PlacementMessage refusedRetry(PlacementRequest request, long nowMillis) {
    String detail = "The retry budget of " + shard + " is used up: " + retries.describe(nowMillis);
    return new PlacementMessage.Refused(
        shard,
        request.request(),
        request.attempt(),
        Refusal.notRun(RefusalReason.RETRIES_EXHAUSTED, detail));
  }
}
