package org.marjoramsail.daemon.placement;

import io.micrometer.core.instrument.MeterRegistry;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import java.util.function.ObjLongConsumer;
import org.marjoramsail.core.configuration.Configuration;
import org.marjoramsail.core.configuration.UpstreamDefinition;
import org.marjoramsail.core.failure.Refusal;
import org.marjoramsail.core.failure.RefusalReason;
import org.marjoramsail.core.feedback.UpstreamFeedbackTable;
import org.marjoramsail.core.membership.Member;
import org.marjoramsail.core.membership.MembershipView;
import org.marjoramsail.core.message.PeerTransport;
import org.marjoramsail.core.model.DaemonId;
import org.marjoramsail.core.model.RequestId;
import org.marjoramsail.core.model.UpstreamName;
import org.marjoramsail.core.placement.AttemptReport;
import org.marjoramsail.core.placement.CacheEvent;
import org.marjoramsail.core.placement.CacheObserver;
import org.marjoramsail.core.placement.EntryAction;
import org.marjoramsail.core.placement.EntryPlacement;
import org.marjoramsail.core.placement.LoadReport;
import org.marjoramsail.core.placement.OrganisationUsageMessage;
import org.marjoramsail.core.placement.PlacementMessage;
import org.marjoramsail.core.placement.PlacementRequest;
import org.marjoramsail.core.placement.PlacementResult;
import org.marjoramsail.core.placement.PlacementService;
import org.marjoramsail.core.placement.PlacementTimings;
import org.marjoramsail.core.placement.PlacerEvent;
import org.marjoramsail.core.placement.RoleChange;
import org.marjoramsail.core.placement.ShardCoordinator;
import org.marjoramsail.core.placement.ShardId;
import org.marjoramsail.core.placement.ShardView;
import org.marjoramsail.core.placement.UsageSharing;
import org.marjoramsail.core.time.Clock;

/**
 * Placement of the whole fleet, as one daemon takes part in it.
 *
 * <p>It is entry for the requests of this daemon's callers and owner of some shards. Messages to
 * itself take no network. Callbacks and sends happen outside of all locks, so messages of one
 * attempt may overtake each other; {@link EntryPlacement} and {@link ShardCoordinator} hold under
 * that.
 */
public final class DistributedPlacement implements PlacementService {

  private final DaemonId self;
  private final ShardChoice choice;
  private final PeerTransport transport;
  private final Clock clock;
  private final MeterRegistry meters;
  private final Object entryLock = new Object();
  private final EntryPlacement entry;
  private final OwnedShards owned;
  private final Map<RequestId, Consumer<PlacementResult>> callbacks = new ConcurrentHashMap<>();
  private final Map<UpstreamName, LoadReport> latestLoads = new ConcurrentHashMap<>();
  private final Set<UpstreamName> unavailable = ConcurrentHashMap.newKeySet();
  private volatile Runnable workListener = () -> {};
  private Set<DaemonId> reachable = Set.of();

  /**
   * Creates the placement of one daemon.
   *
   * @param self its run
   * @param choice how requests and upstreams belong to shards
   * @param transport the way to other daemons
   * @param timings how long entries and owners wait for each other
   * @param clock the time
   * @param meters counts messages and grants
   * @param conditions what upstreams said of themselves to this daemon
   */
  public DistributedPlacement(
      DaemonId self,
      ShardChoice choice,
      PeerTransport transport,
      PlacementTimings timings,
      Clock clock,
      MeterRegistry meters,
      UpstreamFeedbackTable conditions) {
    this.self = self;
    this.choice = choice;
    this.transport = transport;
    this.clock = clock;
    this.meters = meters;
    this.entry = new EntryPlacement(self, timings, choice, conditions);
    this.owned =
        new OwnedShards(
            self, choice, timings, clock, outgoing -> send(outgoing.to(), outgoing.message()));
  }

  @Override
  public void place(PlacementRequest request, Consumer<PlacementResult> result) {
    Optional<ShardId> shard = choice.shardFor(request);
    if (shard.isEmpty()) {
      Refusal refusal =
          Refusal.notRun(
              RefusalReason.NO_UPSTREAM,
              "Service '" + request.service() + "' has no upstream in service.",
              1_000);
      result.accept(
          new PlacementResult.Refused(self, request.request(), request.attempt(), refusal));
      return;
    }
    callbacks.put(request.request(), result);
    List<EntryAction> actions;
    synchronized (entryLock) {
      actions = entry.place(request, shard.get(), clock.millis());
    }
    act(actions);
    workListener.run();
  }

  @Override
  public void report(AttemptReport report) {
    List<EntryAction> actions;
    synchronized (entryLock) {
      actions = entry.report(report, clock.millis());
    }
    act(actions);
  }

  @Override
  public void withdraw(RequestId request) {
    callbacks.remove(request);
    List<EntryAction> actions;
    synchronized (entryLock) {
      actions = entry.withdraw(request);
    }
    act(actions);
  }

  /** Handles a message of another daemon. */
  public void heard(DaemonId from, PlacementMessage message) {
    if (isForOwner(message)) {
      owned.handle(from, message);
      workListener.run();
      return;
    }
    List<EntryAction> actions;
    synchronized (entryLock) {
      actions = entry.handle(from, message, clock.millis());
    }
    act(actions);
  }

  /** Records that the connection to a daemon is gone. */
  public void connectionLost(DaemonId daemon) {
    List<EntryAction> actions;
    synchronized (entryLock) {
      actions = entry.ownerDisconnected(daemon, clock.millis());
    }
    act(actions);
  }

  /** Handles a newer view of the daemons; what a dead one had here is dropped. */
  public void members(MembershipView view) {
    choice.members(view);
    Set<DaemonId> now = new HashSet<>();
    for (Member member : view.members()) {
      if (member.state().isReachable()) {
        now.add(member.id());
      }
    }
    Set<DaemonId> gone;
    Set<DaemonId> back = new HashSet<>(now);
    synchronized (entryLock) {
      gone = new HashSet<>(reachable);
      gone.removeAll(now);
      back.removeAll(reachable);
      reachable = now;
    }
    double share = view.budgetShare();
    informSharing((sharing, millis) -> sharing.fleetShare(share, millis));
    gone.forEach(owned::daemonFailed);
    back.forEach(owned::daemonRecovered);
    tickEntry();
  }

  /** Applies a newer configuration. */
  public void configure(Configuration configuration) {
    choice.configure(configuration);
    owned.informAll((placer, now) -> placer.configure(configuration, now));
    tickEntry();
  }

  /** Handles what an upstream says of its load. */
  public void load(LoadReport report) {
    latestLoads.put(report.upstream(), report);
    inform(report.upstream(), (placer, now) -> placer.load(report, now));
  }

  /** Records that an upstream is leaving or unreachable, or is back. */
  public void availability(UpstreamName upstream, boolean available) {
    if (available) {
      unavailable.remove(upstream);
    } else {
      unavailable.add(upstream);
    }
    inform(upstream, (placer, now) -> placer.availability(upstream, available, now));
  }

  /** Handles what an upstream says of its prefix cache; policies without an index ignore it. */
  public void cached(CacheEvent event) {
    inform(
        event.upstream(),
        (placer, now) -> {
          if (placer instanceof CacheObserver observer) {
            observer.cacheEvent(event);
          }
          return List.of();
        });
  }

  /** Tells a fact about an upstream to the shard that it belongs to, if that is decided here. */
  public void inform(UpstreamName upstream, PlacerEvent event) {
    choice
        .shardOf(upstream)
        .filter(shard -> owned.ids().contains(shard) || isFirstOwner(shard))
        .ifPresent(shard -> owned.inform(shard, event));
  }

  /** Does what time has made due on the owner's side; called every few milliseconds. */
  public void tickOwned() {
    owned.tick();
  }

  /** Whether a request waits in a shard that is decided here. */
  public boolean isDeciding() {
    return owned.isBusy();
  }

  /** Whether any shard is decided here. */
  public boolean isOwner() {
    return !owned.isEmpty();
  }

  /** Whether this entry holds or waits for any attempt. */
  public boolean isEntryBusy() {
    synchronized (entryLock) {
      return entry.size() > 0;
    }
  }

  /** Calls {@code listener} whenever something may have come up that a tick has to look after. */
  public void onWork(Runnable listener) {
    workListener = listener;
  }

  /** Does what time has made due on the entry's side; called some times a second. */
  public void tickEntry() {
    List<EntryAction> actions;
    synchronized (entryLock) {
      actions = entry.tick(clock.millis());
    }
    act(actions);
  }

  /**
   * Tells the owners of other shards what organisations use here, so that limits hold over all
   * shards; called some times a second, and most calls send nothing.
   */
  public void shareUsage() {
    List<OrganisationUsageMessage> usages = owned.usages();
    if (usages.isEmpty()) {
      return;
    }
    Set<DaemonId> owners = new HashSet<>();
    for (ShardId shard : choice.shards()) {
      owners.add(choice.owners(shard).get(0));
    }
    for (OrganisationUsageMessage usage : usages) {
      for (DaemonId owner : owners) {
        shareUsage(owner, usage);
      }
    }
  }

  /** Handles what the owner of another shard told. */
  public void heardUsage(OrganisationUsageMessage usage) {
    informSharing((sharing, now) -> sharing.receiveUsage(usage, now));
  }

  private void informSharing(ObjLongConsumer<UsageSharing> fact) {
    owned.informAll(
        (placer, now) -> {
          if (placer instanceof UsageSharing sharing) {
            fact.accept(sharing, now);
          }
          return List.of();
        });
  }

  /** Engines decided for here that would be of more use in another role. */
  public List<RoleChange> wantedRoleChanges() {
    return owned.wantedRoleChanges();
  }

  /** The shards that this daemon decides for now. */
  public List<ShardView> views() {
    return owned.views();
  }

  /** Those of them in which something waits. */
  public List<ShardView> viewsOfWaiting() {
    return owned.viewsOfWaiting();
  }

  /** The shards that this daemon decides for, also those for which there is no request now. */
  public List<ShardView> viewsWithIdle() {
    List<ShardView> views = new ArrayList<>(owned.views());
    Set<ShardId> idle = rankedShards();
    views.forEach(view -> idle.remove(view.shard()));
    idle.forEach(shard -> views.add(owned.idleView(shard, factsOf(shard))));
    return views;
  }

  private List<PlacerEvent> factsOf(ShardId shard) {
    List<PlacerEvent> facts = new ArrayList<>();
    for (UpstreamDefinition upstream : choice.upstreamsOf(shard)) {
      Optional.ofNullable(latestLoads.get(upstream.name()))
          .ifPresent(report -> facts.add((placer, now) -> placer.load(report, now)));
      if (unavailable.contains(upstream.name())) {
        facts.add((placer, now) -> placer.availability(upstream.name(), false, now));
      }
    }
    return facts;
  }

  /**
   * The shards whose upstreams this daemon has to watch: those that it decides for and those for
   * which it ranks first.
   */
  public Set<ShardId> watchedShards() {
    Set<ShardId> watched = rankedShards();
    watched.addAll(owned.ids());
    return watched;
  }

  private Set<ShardId> rankedShards() {
    Set<ShardId> ranked = new HashSet<>();
    for (ShardId shard : choice.shards()) {
      if (isFirstOwner(shard)) {
        ranked.add(shard);
      }
    }
    return ranked;
  }

  private boolean isFirstOwner(ShardId shard) {
    return choice.owners(shard).get(0).equals(self);
  }

  private void shareUsage(DaemonId owner, OrganisationUsageMessage usage) {
    if (owner.equals(self)) {
      heardUsage(usage);
    } else {
      transport.send(owner, usage);
    }
  }

  private static boolean isForOwner(PlacementMessage message) {
    return message instanceof PlacementMessage.Place
        || message instanceof PlacementMessage.Restore
        || message instanceof PlacementMessage.Report
        || message instanceof PlacementMessage.Withdraw
        || message instanceof PlacementMessage.Holdings;
  }

  private void act(List<EntryAction> actions) {
    for (EntryAction action : actions) {
      if (action instanceof EntryAction.Send send) {
        send(send.to(), send.message());
      } else if (action instanceof EntryAction.Complete answer) {
        answer(answer);
      }
    }
  }

  private void answer(EntryAction.Complete answer) {
    Consumer<PlacementResult> callback = callbacks.remove(answer.request());
    if (callback != null) {
      callback.accept(answer.result());
    }
  }

  private void send(DaemonId to, PlacementMessage message) {
    String kind = message.getClass().getSimpleName();
    meters
        .counter("marjoramsail.placement.messages", "kind", kind, "remote", "" + !to.equals(self))
        .increment();
    if (to.equals(self)) {
      heard(self, message);
    } else {
      transport.send(to, message);
    }
  }
}
