package org.marjoramsail.daemon.placement;

import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Tags;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import org.marjoramsail.core.configuration.Configuration;
import org.marjoramsail.core.configuration.UpstreamDefinition;
import org.marjoramsail.core.failure.Refusal;
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
import org.marjoramsail.core.placement.RetryLimits;
import org.marjoramsail.core.placement.RoleChange;
import org.marjoramsail.core.placement.ShardCoordinator;
import org.marjoramsail.core.placement.ShardId;
import org.marjoramsail.core.placement.ShardView;
import org.marjoramsail.core.time.Clock;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Takes part in the fleet-wide placement of requests on behalf of one daemon.
 *
 * <p>The daemon is the entry for the requests of its own callers and the owner of some shards.
 * Messages to itself bypass the network. Callbacks and sends run outside of all locks, so messages
 * of one attempt can be reordered; {@link EntryPlacement} and {@link ShardCoordinator} tolerate
 * this.
 */
public final class DistributedPlacement implements PlacementService {

  private static final Logger LOG = LoggerFactory.getLogger(DistributedPlacement.class);

  /** Smallest change of the share that is logged; a start would else write a line for each host. */
  private static final double LOGGED_SHARE_CHANGE = 0.05;

  private final DaemonId self;
  private final ShardTopology topology;
  private final PeerTransport transport;
  private final Clock clock;
  private final MeterRegistry meters;
  private final Object entryLock = new Object();
  private final EntryPlacement entry;
  private final OwnedShards owned;
  private final Map<RequestId, Consumer<PlacementResult>> callbacks = new ConcurrentHashMap<>();
  private final Map<UpstreamName, LoadReport> latestLoads = new ConcurrentHashMap<>();
  private final Set<UpstreamName> unavailable = ConcurrentHashMap.newKeySet();

  /** Messages of each thread to this daemon itself, in order; the first is being delivered. */
  private final ThreadLocal<Deque<PlacementMessage>> undelivered =
      ThreadLocal.withInitial(ArrayDeque::new);

  private volatile Runnable workListener = () -> {};
  private Set<DaemonId> reachable = Set.of();
  private double loggedFleetShare = 1;

  /**
   * Creates the placement of one daemon.
   *
   * @param self identity and incarnation of this daemon
   * @param topology maps requests and upstreams to shards
   * @param transport sends messages to other daemons
   * @param timings timeouts between entries and owners
   * @param retryLimits retries that all daemons together may make
   * @param clock provides the current time
   * @param meters counts messages and grants
   * @param feedback feedback that this daemon received from upstreams
   */
  public DistributedPlacement(
      DaemonId self,
      ShardTopology topology,
      PeerTransport transport,
      PlacementTimings timings,
      RetryLimits retryLimits,
      Clock clock,
      MeterRegistry meters,
      UpstreamFeedbackTable feedback) {
    this.self = self;
    this.topology = topology;
    this.transport = transport;
    this.clock = clock;
    this.meters = meters;
    this.entry = new EntryPlacement(self, timings, topology, feedback);
    this.owned =
        new OwnedShards(
            self,
            topology,
            timings,
            retryLimits,
            clock,
            meters,
            outgoing -> send(outgoing.to(), outgoing.message()));
  }

  @Override
  public void place(PlacementRequest request, Consumer<PlacementResult> result) {
    Optional<ShardId> shard = topology.shardFor(request);
    if (shard.isEmpty()) {
      boolean isPoolKnown = topology.shardCount(request.service()) > 0;
      Refusal refusal =
          request.refusalWithoutUpstream("service '" + request.service() + "'", isPoolKnown);
      result.accept(
          new PlacementResult.Refused(self, request.request(), request.attempt(), refusal));
      return;
    }
    callbacks.put(request.request(), result);
    List<EntryAction> actions;
    synchronized (entryLock) {
      actions = entry.place(request, shard.get(), clock.millis());
    }
    execute(actions);
    workListener.run();
  }

  @Override
  public void report(AttemptReport report) {
    List<EntryAction> actions;
    synchronized (entryLock) {
      actions = entry.report(report, clock.millis());
    }
    execute(actions);
  }

  @Override
  public void withdraw(RequestId request) {
    callbacks.remove(request);
    List<EntryAction> actions;
    synchronized (entryLock) {
      actions = entry.withdraw(request);
    }
    execute(actions);
  }

  /** Handles a placement message from another daemon or from this daemon itself. */
  public void receive(DaemonId from, PlacementMessage message) {
    if (isForOwner(message)) {
      owned.handle(from, message);
      workListener.run();
      return;
    }
    List<EntryAction> actions;
    synchronized (entryLock) {
      actions = entry.handle(from, message, clock.millis());
    }
    execute(actions);
  }

  /** Handles the loss of the connection to a daemon. */
  public void connectionLost(DaemonId daemon) {
    List<EntryAction> actions;
    synchronized (entryLock) {
      actions = entry.ownerDisconnected(daemon, clock.millis());
    }
    execute(actions);
    announceToOwners();
  }

  /**
   * Applies a newer membership view, and drops the state of daemons that are no longer reachable.
   */
  public void updateMembership(MembershipView view) {
    topology.updateMembership(view);
    Set<DaemonId> reachableNow = new HashSet<>();
    for (Member member : view.members()) {
      if (member.state().isReachable()) {
        reachableNow.add(member.id());
      }
    }
    Set<DaemonId> failed;
    Set<DaemonId> recovered = new HashSet<>(reachableNow);
    synchronized (entryLock) {
      failed = new HashSet<>(reachable);
      failed.removeAll(reachableNow);
      recovered.removeAll(reachable);
      reachable = reachableNow;
    }
    logFleetShare(view, view.budgetShare());
    owned.updateMembership(view);
    failed.forEach(owned::daemonFailed);
    recovered.forEach(owned::daemonRecovered);
    tickEntry();
    announceToOwners();
  }

  /** Tells owners that have changed that this daemon sends them its requests from now on. */
  private void announceToOwners() {
    List<EntryAction> actions;
    synchronized (entryLock) {
      actions = entry.announce(topology.shards(), clock.millis());
    }
    execute(actions);
  }

  private void logFleetShare(MembershipView view, double share) {
    if (Math.abs(share - loggedFleetShare) < LOGGED_SHARE_CHANGE) {
      return;
    }
    LOG.atInfo()
        .addKeyValue("before", loggedFleetShare)
        .addKeyValue("share", share)
        .addKeyValue("knownHosts", view.knownHosts())
        .addKeyValue("reachableHosts", view.reachableHosts())
        .addKeyValue("unknownHosts", view.unknownHosts())
        .addKeyValue("removedHosts", view.removedHosts())
        .log("share of the limits of the fleet changed");
    loggedFleetShare = share;
  }

  /** Applies a newer configuration. */
  public void configure(Configuration configuration) {
    topology.configure(configuration);
    owned.configure(configuration);
    topology.shards().forEach(shard -> registerRetryGauge(shard.service()));
    tickEntry();
  }

  private void registerRetryGauge(String service) {
    meters.gauge(
        "marjoramsail.retry.budget.left",
        Tags.of("service", service),
        owned,
        shards -> shards.availableRetries(service));
  }

  /** Applies a load report of an upstream. */
  public void load(LoadReport report) {
    latestLoads.put(report.upstream(), report);
    apply(report.upstream(), (placer, now) -> placer.load(report, now));
  }

  /** Records whether an upstream is available, that is, neither draining nor unreachable. */
  public void availability(UpstreamName upstream, boolean available) {
    if (available) {
      unavailable.remove(upstream);
    } else {
      unavailable.add(upstream);
    }
    apply(upstream, (placer, now) -> placer.availability(upstream, available, now));
  }

  /** Applies a change of the prefix cache of an upstream; policies without an index ignore it. */
  public void receiveCacheEvent(CacheEvent event) {
    apply(
        event.upstream(),
        (placer, now) -> {
          if (placer instanceof CacheObserver observer) {
            observer.cacheEvent(event);
          }
          return List.of();
        });
  }

  /** Applies an event to the shard of an upstream, if this daemon owns that shard. */
  public void apply(UpstreamName upstream, PlacerEvent event) {
    topology
        .shardOf(upstream)
        .filter(shard -> owned.ids().contains(shard) || isFirstOwner(shard))
        .ifPresent(shard -> owned.apply(shard, event));
  }

  /** Runs the due actions of the owned shards; called every few milliseconds. */
  public void tickOwned() {
    owned.tick();
  }

  /** Returns whether a request waits in a shard that this daemon owns. */
  public boolean hasWaitingRequests() {
    return owned.hasWaitingRequests();
  }

  /** Returns whether this daemon owns any shard. */
  public boolean isOwner() {
    return !owned.isEmpty();
  }

  /** Returns whether this entry has any placed or waiting attempt. */
  public boolean isEntryBusy() {
    synchronized (entryLock) {
      return entry.size() > 0;
    }
  }

  /** Sets the listener that is called when new work may require an earlier tick. */
  public void onWork(Runnable listener) {
    workListener = listener;
  }

  /** Runs the due actions of the entry; called several times a second. */
  public void tickEntry() {
    List<EntryAction> actions;
    synchronized (entryLock) {
      actions = entry.tick(clock.millis());
    }
    execute(actions);
  }

  /**
   * Sends the usage of each organisation in the owned shards to all daemons that may own a shard,
   * so that limits hold over all owners. Called several times a second; most calls send nothing.
   */
  public void shareUsage() {
    List<OrganisationUsageMessage> usageMessages = owned.usageMessages();
    if (usageMessages.isEmpty()) {
      return;
    }
    Set<DaemonId> owners = new HashSet<>();
    for (ShardId shard : topology.shards()) {
      owners.addAll(topology.owners(shard));
    }
    for (OrganisationUsageMessage usage : usageMessages) {
      for (DaemonId owner : owners) {
        shareUsage(owner, usage);
      }
    }
  }

  /** Applies the usage that the owner of another shard has sent. */
  public void receiveUsage(OrganisationUsageMessage usage) {
    owned.receiveUsage(usage);
  }

  /** Returns the recommended role changes for engines of the owned shards. */
  public List<RoleChange> recommendedRoleChanges() {
    return owned.recommendedRoleChanges();
  }

  /** Returns a view of each shard that this daemon owns now. */
  public List<ShardView> views() {
    return owned.views();
  }

  /** Returns a view of each owned shard in which a request waits. */
  public List<ShardView> viewsWithWaitingRequests() {
    return owned.viewsWithWaitingRequests();
  }

  /** Returns a view of each shard that this daemon owns, including shards without requests. */
  public List<ShardView> viewsWithIdleShards() {
    List<ShardView> views = new ArrayList<>(owned.views());
    Set<ShardId> idleShards = firstOwnedShards();
    views.forEach(view -> idleShards.remove(view.shard()));
    idleShards.forEach(shard -> views.add(owned.idleView(shard, upstreamEvents(shard))));
    return views;
  }

  private List<PlacerEvent> upstreamEvents(ShardId shard) {
    List<PlacerEvent> events = new ArrayList<>();
    for (UpstreamDefinition upstream : topology.upstreamsOf(shard)) {
      Optional.ofNullable(latestLoads.get(upstream.name()))
          .ifPresent(report -> events.add((placer, now) -> placer.load(report, now)));
      if (unavailable.contains(upstream.name())) {
        events.add((placer, now) -> placer.availability(upstream.name(), false, now));
      }
    }
    return events;
  }

  /**
   * Returns the shards whose upstreams this daemon has to watch: those that it owns now and those
   * for which it ranks first.
   */
  public Set<ShardId> watchedShards() {
    Set<ShardId> watched = firstOwnedShards();
    watched.addAll(owned.ids());
    return watched;
  }

  private Set<ShardId> firstOwnedShards() {
    Set<ShardId> firstOwned = new HashSet<>();
    for (ShardId shard : topology.shards()) {
      if (isFirstOwner(shard)) {
        firstOwned.add(shard);
      }
    }
    return firstOwned;
  }

  private boolean isFirstOwner(ShardId shard) {
    return topology.owners(shard).get(0).equals(self);
  }

  private OwnerRank rank(ShardId shard) {
    return OwnerRank.of(self, topology.owners(shard));
  }

  private void shareUsage(DaemonId owner, OrganisationUsageMessage usage) {
    if (owner.equals(self)) {
      receiveUsage(usage);
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

  private void execute(List<EntryAction> actions) {
    for (EntryAction action : actions) {
      if (action instanceof EntryAction.Send send) {
        send(send.to(), send.message());
      } else if (action instanceof EntryAction.Complete completion) {
        complete(completion);
      }
    }
  }

  private void complete(EntryAction.Complete completion) {
    Consumer<PlacementResult> callback = callbacks.remove(completion.request());
    if (callback != null) {
      callback.accept(completion.result());
    }
  }

  private void send(DaemonId to, PlacementMessage message) {
    String kind = message.getClass().getSimpleName();
    meters
        .counter("marjoramsail.placement.messages", "kind", kind, "remote", "" + !to.equals(self))
        .increment();
    if (message instanceof PlacementMessage.Granted granted) {
      meters
          .counter("marjoramsail.placement.grants", "owner", rank(granted.shard()).code())
          .increment();
    }
    if (to.equals(self)) {
      deliverToSelf(message);
    } else {
      transport.send(to, message);
    }
  }

  /**
   * Delivers a message to this daemon after those that are being delivered.
   *
   * <p>Guards against a stack overflow, which loses the messages that remain. It shows in a long
   * queue of attempts that are no longer expected: the grant of one is withdrawn, which grants the
   * next, and delivery inside delivery would use stack for each of them.
   */
  private void deliverToSelf(PlacementMessage message) {
    Deque<PlacementMessage> messages = undelivered.get();
    messages.add(message);
    if (messages.size() > 1) {
      return;
    }
    try {
      Optional<RuntimeException> failure = deliverAll(messages);
      if (failure.isPresent()) {
        throw failure.get();
      }
    } finally {
      messages.clear();
    }
  }

  /** Delivers all messages, those after one whose delivery failed too; returns the last failure. */
  private Optional<RuntimeException> deliverAll(Deque<PlacementMessage> messages) {
    Optional<RuntimeException> failure = Optional.empty();
    while (!messages.isEmpty()) {
      try {
        receive(self, messages.peek());
      } catch (RuntimeException exception) {
        failure = Optional.of(exception);
      }
      messages.remove();
    }
    return failure;
  }
}
