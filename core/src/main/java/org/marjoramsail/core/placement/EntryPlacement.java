package org.marjoramsail.core.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.marjoramsail.core.failure.Refusal;
import org.marjoramsail.core.failure.RefusalReason;
import org.marjoramsail.core.feedback.RelayedFeedback;
import org.marjoramsail.core.feedback.UpstreamFeedbackTable;
import org.marjoramsail.core.model.DaemonId;
import org.marjoramsail.core.model.RequestId;
import org.marjoramsail.core.model.UpstreamName;
import org.marjoramsail.core.placement.PlacementMessage.Holding;

/**
 * The entry daemon's side of placement: which attempt is with which owner.
 *
 * <p>Ownership is soft: the entry keeps the truth about its own attempts and registers them with
 * whoever owns the shard now. An owner that leaves, dies or falls silent costs a registration with
 * the next in rank; a grant from an owner that is no longer asked is given back at once, so that an
 * attempt never holds the slots of two grants.
 *
 * <p>Not safe for several threads; the shell calls it under one lock.
 */
public final class EntryPlacement {

  private static final class Entry {
    private final PlacementRequest request;
    private final ShardId shard;
    private final long placedMillis;
    private DaemonId owner;
    private Optional<Grant> grant = Optional.empty();
    private AttemptPhase phase = AttemptPhase.PREFILLING;

    Entry(PlacementRequest request, ShardId shard, DaemonId owner, long placedMillis) {
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
  private final UpstreamFeedbackTable conditions;
  private final Map<RequestId, Entry> entries = new LinkedHashMap<>();
  private final Map<OwnedShard, Long> toldAt = new HashMap<>();

  /**
   * Creates the entry side of one daemon.
   *
   * @param self the daemon
   * @param timings how long to wait for owners
   * @param directory who owns what; asked again on each tick
   * @param conditions what upstreams said of themselves to this daemon
   */
  public EntryPlacement(
      DaemonId self,
      PlacementTimings timings,
      ShardDirectory directory,
      UpstreamFeedbackTable conditions) {
    this.self = self;
    this.timings = timings;
    this.directory = directory;
    this.conditions = conditions;
    this.unresponsiveOwners = new UnresponsiveOwners(timings);
  }

  /** Registers an attempt with the owner of its shard. */
  public List<EntryAction> place(PlacementRequest request, ShardId shard, long nowMillis) {
    List<EntryAction> actions = new ArrayList<>();
    Entry earlier = entries.remove(request.request());
    if (earlier != null) {
      actions.add(withdrawal(earlier));
    }
    Map<UpstreamName, Long> paused = pausedIn(shard, nowMillis);
    Entry entry =
        new Entry(
            request.avoidingToo(paused.keySet()), shard, ownerOf(shard, nowMillis), nowMillis);
    entries.put(request.request(), entry);
    actions.add(registration(entry, nowMillis));
    return actions;
  }

  /** Passes on what becomes of a granted attempt; an attempt that is not held is ignored. */
  public List<EntryAction> report(AttemptReport report, long nowMillis) {
    Entry entry = entries.get(report.request());
    if (entry == null || entry.request.attempt() != report.attempt()) {
      return List.of();
    }
    entry.phase = report.phase();
    if (report.phase() == AttemptPhase.ENDED) {
      entries.remove(report.request());
    }
    return List.of(
        new EntryAction.Send(
            entry.owner,
            new PlacementMessage.Report(
                entry.shard, report, conditionsOf(entry.shard, nowMillis))));
  }

  /** Gives up a request, whether it waits or was granted. */
  public List<EntryAction> withdraw(RequestId request) {
    Entry entry = entries.remove(request);
    if (entry == null) {
      return List.of();
    }
    return List.of(withdrawal(entry));
  }

  /** Handles the word of an owner. */
  public List<EntryAction> heard(DaemonId from, PlacementMessage message, long nowMillis) {
    unresponsiveOwners.responded(from);
    if (message instanceof PlacementMessage.Granted granted) {
      return granted(from, granted);
    }
    if (message instanceof PlacementMessage.Refused refused) {
      return refused(from, refused, nowMillis);
    }
    if (message instanceof PlacementMessage.Unknown unknown) {
      return registerAgain(from, unknown, nowMillis);
    }
    return List.of();
  }

  /** Records that the connection to a daemon is gone: its shards move at once. */
  public List<EntryAction> lost(DaemonId owner, long nowMillis) {
    unresponsiveOwners.disconnected(owner, nowMillis);
    return move(nowMillis);
  }

  /** Moves attempts whose owner changed or fell silent, and repeats holdings that are due. */
  public List<EntryAction> tick(long nowMillis) {
    List<EntryAction> actions = move(nowMillis);
    actions.addAll(holdingsDue(nowMillis));
    unresponsiveOwners.forgetExpired(nowMillis);
    return actions;
  }

  /** How many attempts are held or waited for. */
  public int size() {
    return entries.size();
  }

  private List<EntryAction> granted(DaemonId from, PlacementMessage.Granted granted) {
    Grant grant = granted.grant();
    Entry entry = entries.get(grant.request());
    boolean wanted =
        entry != null
            && entry.owner.equals(from)
            && entry.request.attempt() == grant.attempt()
            && (entry.grant.isEmpty() || entry.grant.get().equals(grant));
    if (!wanted) {
      // A grant that crossed a withdrawal or came from a former owner would hold its slots until
      // the owner forgets it; giving it back frees them after one message.
      return List.of(withdrawal(from, granted.shard(), grant.request(), grant.attempt()));
    }
    if (entry.grant.isPresent()) {
      return List.of();
    }
    entry.grant = Optional.of(grant);
    return List.of(
        new EntryAction.Answer(grant.request(), new PlacementResult.Granted(self, grant)));
  }

  private List<EntryAction> refused(
      DaemonId from, PlacementMessage.Refused refused, long nowMillis) {
    Entry entry = entries.get(refused.request());
    boolean wanted =
        entry != null
            && entry.owner.equals(from)
            && entry.grant.isEmpty()
            && entry.request.attempt() == refused.attempt();
    if (!wanted) {
      return List.of();
    }
    entries.remove(refused.request());
    PlacementResult result =
        new PlacementResult.Refused(
            self,
            refused.request(),
            refused.attempt(),
            untilAPauseEnds(refused.refusal(), entry.shard, nowMillis));
    return List.of(new EntryAction.Answer(refused.request(), result));
  }

  /** Where only pauses are in the way, a caller comes back when the first of them ends. */
  private Refusal untilAPauseEnds(Refusal refusal, ShardId shard, long nowMillis) {
    if (refusal.reason() != RefusalReason.NO_UPSTREAM) {
      return refusal;
    }
    return pausedIn(shard, nowMillis).values().stream()
        .min(Long::compare)
        .map(until -> refusal.retryingAfter(until - nowMillis))
        .orElse(refusal);
  }

  private Map<UpstreamName, Long> pausedIn(ShardId shard, long nowMillis) {
    return conditions.pausedUntil(directory.upstreamsOf(shard), nowMillis);
  }

  private List<EntryAction> registerAgain(
      DaemonId from, PlacementMessage.Unknown unknown, long nowMillis) {
    List<EntryAction> actions = new ArrayList<>();
    for (Holding holding : unknown.unknown()) {
      Entry entry = entries.get(holding.request());
      if (entry != null && entry.owner.equals(from) && entry.holding().equals(holding)) {
        actions.add(registration(entry, nowMillis));
      }
    }
    return actions;
  }

  private List<EntryAction> move(long nowMillis) {
    List<EntryAction> actions = new ArrayList<>();
    Map<ShardId, DaemonId> owners = new HashMap<>();
    for (Entry entry : entries.values()) {
      DaemonId owner = owners.computeIfAbsent(entry.shard, shard -> ownerOf(shard, nowMillis));
      if (!owner.equals(entry.owner)) {
        entry.owner = owner;
        actions.add(registration(entry, nowMillis));
      }
    }
    return actions;
  }

  private List<EntryAction> holdingsDue(long nowMillis) {
    Map<OwnedShard, List<Entry>> byOwner = new LinkedHashMap<>();
    for (Entry entry : entries.values()) {
      byOwner
          .computeIfAbsent(new OwnedShard(entry.owner, entry.shard), key -> new ArrayList<>())
          .add(entry);
    }
    toldAt.keySet().retainAll(byOwner.keySet());
    List<EntryAction> actions = new ArrayList<>();
    byOwner.forEach(
        (key, held) -> {
          long lastTold = toldAt.computeIfAbsent(key, unused -> nowMillis);
          boolean waiting = held.stream().anyMatch(entry -> entry.grant.isEmpty());
          long period = waiting ? timings.holdingsMillis() : timings.quietHoldingsMillis();
          if (nowMillis - lastTold >= period) {
            toldAt.put(key, nowMillis);
            List<Holding> holdings = held.stream().map(Entry::holding).toList();
            actions.add(
                ask(key.owner(), new PlacementMessage.Holdings(key.shard(), holdings), nowMillis));
          }
        });
    return actions;
  }

  private EntryAction registration(Entry entry, long nowMillis) {
    PlacementRequest request = aged(entry, nowMillis);
    if (entry.grant.isPresent()) {
      return ask(
          entry.owner,
          new PlacementMessage.Restore(
              entry.shard,
              request,
              entry.grant.get(),
              entry.phase,
              conditionsOf(entry.shard, nowMillis)),
          nowMillis);
    }
    return ask(
        entry.owner,
        new PlacementMessage.Place(entry.shard, request, conditionsOf(entry.shard, nowMillis)),
        nowMillis);
  }

  private List<RelayedFeedback> conditionsOf(ShardId shard, long nowMillis) {
    return conditions.toRelay(directory.upstreamsOf(shard), nowMillis);
  }

  private static PlacementRequest aged(Entry entry, long nowMillis) {
    long passed = nowMillis - entry.placedMillis;
    return passed == 0 ? entry.request : entry.request.laterBy(passed);
  }

  private EntryAction ask(DaemonId owner, PlacementMessage message, long nowMillis) {
    if (!owner.equals(self)) {
      unresponsiveOwners.requested(owner, nowMillis);
    }
    return new EntryAction.Send(owner, message);
  }

  private DaemonId ownerOf(ShardId shard, long nowMillis) {
    for (DaemonId owner : directory.owners(shard)) {
      if (owner.equals(self) || !unresponsiveOwners.isSilent(owner, nowMillis)) {
        return owner;
      }
    }
    return self;
  }

  private static EntryAction withdrawal(Entry entry) {
    return withdrawal(entry.owner, entry.shard, entry.request.request(), entry.request.attempt());
  }

  private static EntryAction withdrawal(
      DaemonId owner, ShardId shard, RequestId request, int attempt) {
    return new EntryAction.Send(owner, new PlacementMessage.Withdraw(shard, request, attempt));
  }
}
