package org.marjoramsail.core.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.marjoramsail.core.failure.Refusal;
import org.marjoramsail.core.failure.RefusalReason;
import org.marjoramsail.core.feedback.UpstreamFeedbackTable;
import org.marjoramsail.core.model.DaemonId;
import org.marjoramsail.core.model.RequestId;
import org.marjoramsail.core.model.UpstreamName;
import org.marjoramsail.core.placement.PlacementMessage.Holding;

/**
 * Tracks the attempts of one entry daemon and the shard owner that each is registered with.
 *
 * <p>The entry daemon is authoritative for its own attempts and registers them with the current
 * owner of their shard. When an owner leaves, fails or does not respond, its attempts are
 * registered with the next owner in rank. A grant from an owner that the attempt is no longer
 * registered with is withdrawn at once, so that an attempt never holds the slots of two grants.
 *
 * <p>Not thread-safe; the I/O layer calls it under one lock.
 */
public final class EntryPlacement {

  private static final class TrackedAttempt {
    private PlacementRequest request;
    private final ShardId shard;
    private final long placedMillis;
    private DaemonId owner;
    private Optional<Grant> grant = Optional.empty();
    private AttemptPhase phase = AttemptPhase.PREFILLING;

    TrackedAttempt(PlacementRequest request, ShardId shard, DaemonId owner, long placedMillis) {
      this.request = request;
      this.shard = shard;
      this.owner = owner;
      this.placedMillis = placedMillis;
    }

    Holding holding() {
      return new Holding(request.request(), request.attempt(), grant.isPresent());
    }
  }

  private record OwnedShard(DaemonId owner, ShardId shard) {}

  private final DaemonId self;
  private final PlacementTimings timings;
  private final ShardDirectory directory;
  private final UnresponsiveOwners unresponsiveOwners;
  private final UpstreamFeedbackTable feedback;
  private final FeedbackRelay relay;
  private final Map<RequestId, TrackedAttempt> attempts = new LinkedHashMap<>();
  private final Map<OwnedShard, Long> lastHoldingsMillis = new HashMap<>();
  private final Map<ShardId, DaemonId> announcedOwners = new HashMap<>();

  /**
   * Creates the tracker of one entry daemon.
   *
   * @param self the daemon
   * @param timings time-outs for owners and intervals of repeated holdings
   * @param directory the owners and upstreams of shards; queried again on each tick
   * @param feedback the feedback that upstreams have sent to this daemon
   */
  public EntryPlacement(
      DaemonId self,
      PlacementTimings timings,
      ShardDirectory directory,
      UpstreamFeedbackTable feedback) {
    this.self = self;
    this.timings = timings;
    this.directory = directory;
    this.feedback = feedback;
    this.relay = new FeedbackRelay(directory, feedback);
    this.unresponsiveOwners = new UnresponsiveOwners(timings);
  }

  /**
   * Registers an attempt with the owner of its shard; an earlier attempt of the request is
   * withdrawn.
   */
  public List<EntryAction> place(PlacementRequest request, ShardId shard, long nowMillis) {
    List<EntryAction> actions = new ArrayList<>();
    TrackedAttempt previous = attempts.remove(request.request());
    if (previous != null) {
      actions.add(withdrawal(previous, false));
    }
    Map<UpstreamName, Long> paused = pausedIn(shard, nowMillis);
    TrackedAttempt attempt =
        new TrackedAttempt(
            request.alsoAvoiding(paused.keySet()), shard, ownerOf(shard, nowMillis), nowMillis);
    attempts.put(request.request(), attempt);
    actions.add(registration(attempt, nowMillis));
    return actions;
  }

  /**
   * Sends the progress or the end of an attempt to its owner; a report of an unknown attempt is
   * ignored.
   */
  public List<EntryAction> report(AttemptReport report, long nowMillis) {
    TrackedAttempt attempt = attempts.get(report.request());
    if (attempt == null || attempt.request.attempt() != report.attempt()) {
      return List.of();
    }
    attempt.phase = report.phase();
    if (report.phase() == AttemptPhase.ENDED) {
      attempts.remove(report.request());
    }
    return List.of(
        new EntryAction.Send(
            attempt.owner,
            new PlacementMessage.Report(
                attempt.shard, report, relay.next(attempt.owner, attempt.shard, nowMillis))));
  }

  /** Withdraws an attempt that waits, or was granted and not sent to an upstream. */
  public List<EntryAction> withdraw(RequestId request) {
    TrackedAttempt attempt = attempts.remove(request);
    if (attempt == null) {
      return List.of();
    }
    return List.of(withdrawal(attempt, true));
  }

  /** Handles a message from an owner. */
  public List<EntryAction> handle(DaemonId from, PlacementMessage message, long nowMillis) {
    unresponsiveOwners.responded(from);
    if (message instanceof PlacementMessage.Granted granted) {
      return granted(from, granted);
    }
    if (message instanceof PlacementMessage.Refused refused) {
      return refused(from, refused, nowMillis);
    }
    if (message instanceof PlacementMessage.Queued queued) {
      queued(from, queued);
      return List.of();
    }
    if (message instanceof PlacementMessage.Unknown unknown) {
      return registerAgain(from, unknown, nowMillis);
    }
    return List.of();
  }

  /** Records that the connection to an owner has failed, and moves its attempts to other owners. */
  public List<EntryAction> ownerDisconnected(DaemonId owner, long nowMillis) {
    unresponsiveOwners.disconnected(owner, nowMillis);
    return moveToCurrentOwners(nowMillis);
  }

  /**
   * Moves attempts whose owner has changed or does not respond, and sends the holdings that are
   * due.
   */
  public List<EntryAction> tick(long nowMillis) {
    List<EntryAction> actions = moveToCurrentOwners(nowMillis);
    actions.addAll(holdingsDue(nowMillis));
    unresponsiveOwners.removeExpired(nowMillis);
    relay.removeExpired(nowMillis);
    return actions;
  }

  /**
   * Sends empty holdings to owners that have changed, so that an owner knows which daemons it
   * serves before they have requests.
   */
  public List<EntryAction> announce(List<ShardId> shards, long nowMillis) {
    announcedOwners.keySet().retainAll(shards);
    List<EntryAction> actions = new ArrayList<>();
    for (ShardId shard : shards) {
      DaemonId owner = ownerOf(shard, nowMillis);
      boolean isChanged = !owner.equals(announcedOwners.put(shard, owner));
      if (isChanged && !owner.equals(self)) {
        actions.add(sendRequest(owner, new PlacementMessage.Holdings(shard, List.of()), nowMillis));
      }
    }
    return actions;
  }

  /** Returns the number of attempts that wait or are granted. */
  public int size() {
    return attempts.size();
  }

  private List<EntryAction> granted(DaemonId from, PlacementMessage.Granted granted) {
    Grant grant = granted.grant();
    TrackedAttempt attempt = attempts.get(grant.request());
    boolean isExpected =
        attempt != null
            && attempt.owner.equals(from)
            && attempt.request.attempt() == grant.attempt()
            && (attempt.grant.isEmpty() || attempt.grant.get().equals(grant));
    if (!isExpected) {
      // The grant crossed a withdrawal or comes from a former owner. Withdrawing it frees its slots
      // now rather than after the owner's expiry.
      return List.of(withdrawal(from, granted.shard(), grant.request(), grant.attempt(), false));
    }
    if (attempt.grant.isPresent()) {
      return List.of();
    }
    attempt.grant = Optional.of(grant);
    return List.of(
        new EntryAction.Complete(grant.request(), new PlacementResult.Granted(self, grant)));
  }

  /**
   * Stores that the owner recognised a returning caller, so that the next owner serves the request
   * in the same order.
   */
  private void queued(DaemonId from, PlacementMessage.Queued queued) {
    TrackedAttempt attempt = attempts.get(queued.request());
    boolean isExpected =
        attempt != null
            && attempt.owner.equals(from)
            && attempt.request.attempt() == queued.attempt();
    if (isExpected && queued.returned()) {
      attempt.request = attempt.request.withReturned(true);
    }
  }

  private List<EntryAction> refused(
      DaemonId from, PlacementMessage.Refused refused, long nowMillis) {
    TrackedAttempt attempt = attempts.get(refused.request());
    boolean isExpected =
        attempt != null
            && attempt.owner.equals(from)
            && attempt.grant.isEmpty()
            && attempt.request.attempt() == refused.attempt();
    if (!isExpected) {
      return List.of();
    }
    attempts.remove(refused.request());
    PlacementResult result =
        new PlacementResult.Refused(
            self,
            refused.request(),
            refused.attempt(),
            withRetryAfterFirstPause(refused.refusal(), attempt.shard, nowMillis));
    return List.of(new EntryAction.Complete(refused.request(), result));
  }

  /** For a refusal without a usable upstream, sets the retry time to the end of the first pause. */
  private Refusal withRetryAfterFirstPause(Refusal refusal, ShardId shard, long nowMillis) {
    if (refusal.reason() != RefusalReason.NO_UPSTREAM) {
      return refusal;
    }
    return pausedIn(shard, nowMillis).values().stream()
        .min(Long::compare)
        .map(until -> refusal.retryingAfter(until - nowMillis))
        .orElse(refusal);
  }

  private Map<UpstreamName, Long> pausedIn(ShardId shard, long nowMillis) {
    return feedback.pausedUntil(directory.upstreamsOf(shard), nowMillis);
  }

  private List<EntryAction> registerAgain(
      DaemonId from, PlacementMessage.Unknown unknown, long nowMillis) {
    List<EntryAction> actions = new ArrayList<>();
    for (Holding holding : unknown.unknown()) {
      TrackedAttempt attempt = attempts.get(holding.request());
      if (attempt != null && attempt.owner.equals(from) && attempt.holding().equals(holding)) {
        actions.add(registration(attempt, nowMillis));
      }
    }
    return actions;
  }

  private List<EntryAction> moveToCurrentOwners(long nowMillis) {
    List<EntryAction> actions = new ArrayList<>();
    Map<ShardId, DaemonId> owners = new HashMap<>();
    for (TrackedAttempt attempt : attempts.values()) {
      DaemonId owner = owners.computeIfAbsent(attempt.shard, shard -> ownerOf(shard, nowMillis));
      if (!owner.equals(attempt.owner)) {
        attempt.owner = owner;
        actions.add(registration(attempt, nowMillis));
      }
    }
    return actions;
  }

  private List<EntryAction> holdingsDue(long nowMillis) {
    Map<OwnedShard, List<TrackedAttempt>> byOwner = new LinkedHashMap<>();
    for (TrackedAttempt attempt : attempts.values()) {
      byOwner
          .computeIfAbsent(new OwnedShard(attempt.owner, attempt.shard), key -> new ArrayList<>())
          .add(attempt);
    }
    lastHoldingsMillis.keySet().retainAll(byOwner.keySet());
    List<EntryAction> actions = new ArrayList<>();
    byOwner.forEach(
        (key, held) -> {
          long lastSent = lastHoldingsMillis.computeIfAbsent(key, unused -> nowMillis);
          boolean waiting = held.stream().anyMatch(attempt -> attempt.grant.isEmpty());
          long period = waiting ? timings.holdingsMillis() : timings.idleHoldingsMillis();
          if (nowMillis - lastSent >= period) {
            lastHoldingsMillis.put(key, nowMillis);
            List<Holding> holdings = held.stream().map(TrackedAttempt::holding).toList();
            actions.add(
                sendRequest(
                    key.owner(), new PlacementMessage.Holdings(key.shard(), holdings), nowMillis));
          }
        });
    return actions;
  }

  private EntryAction registration(TrackedAttempt attempt, long nowMillis) {
    PlacementRequest request = withElapsedTime(attempt, nowMillis);
    if (attempt.grant.isPresent()) {
      return sendRequest(
          attempt.owner,
          new PlacementMessage.Restore(
              attempt.shard,
              request,
              attempt.grant.get(),
              attempt.phase,
              relay.next(attempt.owner, attempt.shard, nowMillis)),
          nowMillis);
    }
    return sendRequest(
        attempt.owner,
        new PlacementMessage.Place(
            attempt.shard, request, relay.next(attempt.owner, attempt.shard, nowMillis)),
        nowMillis);
  }

  private static PlacementRequest withElapsedTime(TrackedAttempt attempt, long nowMillis) {
    long elapsed = nowMillis - attempt.placedMillis;
    return elapsed == 0 ? attempt.request : attempt.request.afterElapsed(elapsed);
  }

  private EntryAction sendRequest(DaemonId owner, PlacementMessage message, long nowMillis) {
    if (!owner.equals(self)) {
      unresponsiveOwners.requested(owner, nowMillis);
    }
    return new EntryAction.Send(owner, message);
  }

  private DaemonId ownerOf(ShardId shard, long nowMillis) {
    for (DaemonId owner : directory.owners(shard)) {
      if (owner.equals(self) || !unresponsiveOwners.isUnresponsive(owner, nowMillis)) {
        return owner;
      }
    }
    return self;
  }

  private static EntryAction withdrawal(TrackedAttempt attempt, boolean unsent) {
    return withdrawal(
        attempt.owner, attempt.shard, attempt.request.request(), attempt.request.attempt(), unsent);
  }

  private static EntryAction withdrawal(
      DaemonId owner, ShardId shard, RequestId request, int attempt, boolean unsent) {
    return new EntryAction.Send(
        owner, new PlacementMessage.Withdraw(shard, request, attempt, unsent));
  }
}
