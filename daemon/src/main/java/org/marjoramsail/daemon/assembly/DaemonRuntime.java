package org.marjoramsail.daemon.assembly;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.security.SecureRandom;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;
import org.marjoramsail.core.claim.ClaimMessage;
import org.marjoramsail.core.claim.ClaimSettings;
import org.marjoramsail.core.configuration.Configuration;
import org.marjoramsail.core.feedback.UpstreamFeedbackTable;
import org.marjoramsail.core.membership.Member;
import org.marjoramsail.core.membership.MemberState;
import org.marjoramsail.core.membership.MembershipSettings;
import org.marjoramsail.core.membership.MembershipView;
import org.marjoramsail.core.membership.PeerAddress;
import org.marjoramsail.core.message.PeerMessageHandler;
import org.marjoramsail.core.model.DaemonId;
import org.marjoramsail.core.outcome.CrashReportMessage;
import org.marjoramsail.core.outcome.CutMessage;
import org.marjoramsail.core.outcome.Invariant;
import org.marjoramsail.core.outcome.Invariants;
import org.marjoramsail.core.outcome.PartClearanceMessage;
import org.marjoramsail.core.outcome.PartCrashMessage;
import org.marjoramsail.core.outcome.Quarantine;
import org.marjoramsail.core.placement.OrganisationUsageMessage;
import org.marjoramsail.core.placement.PlacementMessage;
import org.marjoramsail.core.placement.PlacementPolicy;
import org.marjoramsail.core.placement.PlacementSettings;
import org.marjoramsail.core.placement.PlacementTimings;
import org.marjoramsail.core.placement.RetryLimits;
import org.marjoramsail.core.placement.ShardView;
import org.marjoramsail.core.time.Clock;
import org.marjoramsail.daemon.claim.PeerClaimService;
import org.marjoramsail.daemon.configuration.ConfigurationService;
import org.marjoramsail.daemon.configuration.VertxTimers;
import org.marjoramsail.daemon.main.RunningDaemon;
import org.marjoramsail.daemon.main.StopPhase;
import org.marjoramsail.daemon.main.UnfinishedWork;
import org.marjoramsail.daemon.membership.MembershipService;
import org.marjoramsail.daemon.membership.PeerDirectory;
import org.marjoramsail.daemon.operator.LocalState;
import org.marjoramsail.daemon.operator.OperatorQueryMessage;
import org.marjoramsail.daemon.operator.StoredFacts;
import org.marjoramsail.daemon.order.HttpEngineOrders;
import org.marjoramsail.daemon.order.OrderService;
import org.marjoramsail.daemon.peer.PeerBounds;
import org.marjoramsail.daemon.peer.PeerFaults;
import org.marjoramsail.daemon.peer.PeerMessageType;
import org.marjoramsail.daemon.peer.PeerNetwork;
import org.marjoramsail.daemon.peer.PeerSettings;
import org.marjoramsail.daemon.placement.ConfiguredShards;
import org.marjoramsail.daemon.placement.DistributedPlacement;
import org.marjoramsail.daemon.platform.HttpObjectApi;
import org.marjoramsail.daemon.platform.HttpObjectApiSettings;
import org.marjoramsail.daemon.request.CrashObserver;
import org.marjoramsail.daemon.request.CrashReportSender;
import org.marjoramsail.daemon.request.LifecycleDependencies;
import org.marjoramsail.daemon.request.QuarantineLog;
import org.marjoramsail.daemon.request.StoredClaims;
import org.marjoramsail.daemon.settings.Settings;
import org.marjoramsail.daemon.upstream.CacheEventPoller;
import org.marjoramsail.daemon.upstream.OrphanCanceller;
import org.marjoramsail.daemon.upstream.PollInterval;
import org.marjoramsail.daemon.upstream.UpstreamStatusPoller;

/** A whole daemon: its parts, started and stopped in order. */
public final class DaemonRuntime implements RunningDaemon, OperatorParts.Control {

  private static final long CRASH_SPREAD_MILLIS = 100;
  private static final long ORPHAN_TICK_MILLIS = 500;
  static final long CRASH_LIFETIME_MILLIS = 600_000;
  private static final long CRASH_SETTLE_MILLIS = 2_000;
  private static final int MAXIMUM_SUSPECTS = 10_000;

  private final Vertx vertx;
  private final Settings settings;
  private final Clock clock;
  private final DaemonId self;
  private final PrometheusMeterRegistry meters =
      new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
  private final Invariants invariants;
  private final Quarantine quarantine;
  private final PeerNetwork network;
  private final MembershipService membership;
  private final ConfigurationService configuration;
  private final DistributedPlacement placement;
  private final PeerClaimService claims;
  private final PlacementParts placementParts;
  private final UpstreamStatusPoller poller;
  private final RequestParts requests;
  private final CrashReportSender crashReports;
  private final CrashObserver outcomes;
  private final OrphanCanceller orphans;
  private final HostListParts hosts;
  private final OrderService orders;
  private final OperatorParts operators;
  private volatile long configuredAtMillis;
  private volatile boolean started;
  private volatile boolean drained;
  private Set<DaemonId> reachable = Set.of();
  private int callerPort;
  private int operatorPort;
  private int peerPort;

  /**
   * Builds the parts; nothing runs before {@link #start}.
   *
   * @param vertx runs the event loops; stays open when the daemon stops
   * @param settings what the daemon is told
   * @param clock the time
   * @param mode what to do when an invariant does not hold
   */
  public DaemonRuntime(Vertx vertx, Settings settings, Clock clock, Invariants.Mode mode) {
    this.vertx = vertx;
    this.settings = settings;
    this.clock = clock;
    this.invariants = new Invariants(mode);
    this.self = new DaemonId(settings.host().name(), clock.millis());
    this.quarantine = quarantine();
    SecureRandom secure = new SecureRandom();
    Random random = new Random(secure.nextLong());
    ObjectMapper json = JsonMapper.builder().addModule(new Jdk8Module()).build();
    PeerDirectory addresses = new PeerDirectory();
    this.network =
        new PeerNetwork(vertx, peerSettings(), clock, meters, secure, addresses, PeerFaults.NONE);
    this.membership = membershipService(addresses, random);
    HttpObjectApiSettings platform =
        HttpObjectApiSettings.defaults(settings.platform().address(), settings.platform().port());
    HttpObjectApi store = new HttpObjectApi(vertx, platform, meters);
    VertxTimers timers = new VertxTimers(vertx);
    this.configuredAtMillis = clock.millis();
    this.configuration = configurationService(store, timers, random);
    ConfiguredShards shards =
        new ConfiguredShards(
            membership.view().self(),
            PlacementPolicy.ofCode(settings.placement().policy()).orElse(PlacementPolicy.RESERVE),
            PlacementSettings.defaults().withMaximumWaiting(settings.limits().queueLength()),
            random,
            clock);
    this.placement = placementOf(shards);
    this.claims =
        new PeerClaimService(
            vertx, self, ClaimSettings.defaults(), store, network, this::liveRuns, clock, meters);
    UpstreamParts upstreams = new UpstreamParts(vertx, json, configuration::current, meters);
    this.placementParts =
        new PlacementParts(
            vertx,
            placement,
            shards,
            quarantine,
            upstreams.directory,
            new CacheEventPoller(upstreams.engines));
    this.poller =
        new UpstreamStatusPoller(
            vertx,
            upstreams.engines,
            upstreams.plainServices,
            placementParts::watched,
            PollInterval.defaults(),
            clock,
            random);
    this.crashReports = new CrashReportSender(self, quarantine, network);
    this.requests = requestParts(upstreams, invariants, random, json);
    this.outcomes =
        new CrashObserver(
            quarantine, requests.registry, crashReports::sendNew, placementParts, clock);
    this.orphans = new OrphanCanceller(upstreams.engines, placementParts::watched, clock, meters);
    this.hosts = new HostListParts(vertx, platform, membership, placementParts, random, meters);
    HttpEngineOrders engineOrders = new HttpEngineOrders(vertx);
    engineOrders.malformedHeads().registerWith(meters, "engine-orders");
    this.orders =
        new OrderService(
            store, engineOrders, configuration::current, membership::view, clock, timers, meters);
    this.operators = operatorParts(store, timers);
  }

  /** Engines of this interface tell of themselves when they are polled, not in answers. */
  private DistributedPlacement placementOf(ConfiguredShards shards) {
    return new DistributedPlacement(
        self,
        shards,
        network,
        PlacementTimings.standard(),
        RetryLimits.standard(),
        clock,
        meters,
        new UpstreamFeedbackTable());
  }

  /** Starts all parts; done once callers are served. */
  public Future<DaemonRuntime> start() {
    PeerMessageHandler placements =
        (from, message) -> placement.receive(from, (PlacementMessage) message);
    PeerMessageType.ofFamily(PlacementMessage.class)
        .forEach(type -> network.register(type, placements));
    network.register(
        CrashReportMessage.class,
        (from, message) -> quarantine.handle(from, (CrashReportMessage) message, clock.millis()));
    network.register(
        CutMessage.class,
        (from, message) -> quarantine.handle(from, (CutMessage) message, clock.millis()));
    network.register(
        PartCrashMessage.class,
        (from, message) -> crashReports.handle(from, (PartCrashMessage) message, clock.millis()));
    network.register(
        PartClearanceMessage.class,
        (from, message) ->
            crashReports.handle(from, (PartClearanceMessage) message, clock.millis()));
    network.register(
        OrganisationUsageMessage.class,
        (from, message) -> placement.receiveUsage((OrganisationUsageMessage) message));
    registerPackage(Configuration.class, configuration);
    registerPackage(ClaimMessage.class, claims);
    registerPackage(OperatorQueryMessage.class, operators::heard);
    membership.listen(this::membersChanged);
    network.onConnectionLost(placement::connectionLost);
    return network
        .start()
        .onSuccess(port -> peerPort = port)
        .compose(port -> operators.start())
        .onSuccess(port -> operatorPort = port)
        .compose(port -> startServing())
        .map(
            port -> {
              callerPort = port;
              started = true;
              return this;
            });
  }

  /** The port on which callers are served. */
  public int callerPort() {
    return callerPort;
  }

  /** The port on which operators are served. */
  public int operatorPort() {
    return operatorPort;
  }

  /** The port on which other daemons are served. */
  public int peerPort() {
    return peerPort;
  }

  /** How often an invariant did not hold. */
  public long violations() {
    return Arrays.stream(Invariant.values()).mapToLong(invariants::violations).sum();
  }

  @Override
  public CompletionStage<UnfinishedWork> stop(long elapsedMillis, Consumer<StopPhase> listener) {
    listener.accept(StopPhase.NOT_READY);
    long leaveMillis = settings.limits().leaveMillis();
    long stopMillis = Math.max(1, settings.limits().stopMillis() - elapsedMillis);
    return requests
        .callers
        .stop(leaveMillis, stopMillis)
        .compose(
            running -> {
              UnfinishedWork cutOff = new UnfinishedWork(running, 0, 0, placement.views().size());
              return leaveFleet(listener).eventually(operators::stop).map(cutOff);
            })
        .toCompletionStage();
  }

  private Future<Void> leaveFleet(Consumer<StopPhase> listener) {
    listener.accept(StopPhase.HANDING_OVER);
    orders.stop();
    membership.leave();
    listener.accept(StopPhase.LEAVING);
    return membership
        .stop()
        .compose(
            left -> {
              listener.accept(StopPhase.CLOSING);
              hosts.stop();
              poller.stop();
              placementParts.stop(vertx);
              configuration.stop();
              claims.stop();
              return network.stop();
            });
  }

  /** The shards that this daemon decides for now. */
  public List<ShardView> shards() {
    return placement.views();
  }

  @Override
  public UnfinishedWork unfinished() {
    return new UnfinishedWork(
        requests.registry.size(), requests.callers.openConnections(), 0, placement.views().size());
  }

  @Override
  public boolean isLive() {
    return true;
  }

  @Override
  public Optional<String> notReady() {
    if (!started) {
      return Optional.of("starting");
    }
    if (drained || requests.callers.phase() != org.marjoramsail.daemon.caller.StopPhase.SERVING) {
      return Optional.of("leaving");
    }
    return configuration.isReady() ? Optional.empty() : Optional.of("no configuration yet");
  }

  @Override
  public void drain() {
    drained = true;
    membership.leave();
  }

  @Override
  public boolean lift(long fingerprint) {
    boolean isContentLifted = quarantine.lift(fingerprint, clock.millis());
    boolean isPartLifted = quarantine.liftPart(fingerprint, clock.millis());
    crashReports.sendNew();
    return isContentLifted || isPartLifted;
  }

  private Future<Integer> startServing() {
    membership.start();
    configuration.start();
    claims.start();
    placementParts.start(vertx);
    hosts.start();
    orders.start();
    poller.start(outcomes);
    vertx.setPeriodic(CRASH_SPREAD_MILLIS, timer -> crashReports.sendNew());
    vertx.setPeriodic(ORPHAN_TICK_MILLIS, timer -> orphans.tick());
    return requests.callers.start();
  }

  private RequestParts requestParts(
      UpstreamParts upstreams, Invariants invariants, Random random, ObjectMapper json) {
    return new RequestParts(
        vertx,
        settings,
        self,
        configuration::current,
        placement,
        new StoredClaims(claims),
        upstreams,
        poller::poll,
        new LifecycleDependencies(quarantine, invariants, crashReports::sendNew),
        clock,
        random,
        json,
        meters);
  }

  private OperatorParts operatorParts(HttpObjectApi store, VertxTimers timers) {
    StoredFacts stored = new StoredFacts(configuration, store);
    LocalState state =
        new RuntimeState(
            requests,
            placement,
            membership,
            configuration,
            () -> configuredAtMillis,
            quarantine,
            stored,
            clock);
    return new OperatorParts(
        vertx,
        settings,
        self,
        this,
        state,
        stored,
        hosts,
        configuration,
        membership,
        network,
        store,
        timers,
        meters::scrape,
        clock,
        meters);
  }

  private Quarantine quarantine() {
    return new Quarantine(
        self.host(),
        CRASH_LIFETIME_MILLIS,
        CRASH_SETTLE_MILLIS,
        MAXIMUM_SUSPECTS,
        new QuarantineLog(meters),
        unused -> Optional.empty());
  }

  private MembershipService membershipService(PeerDirectory addresses, Random random) {
    return new MembershipService(
        vertx,
        network,
        addresses,
        peerSettings(),
        MembershipSettings.defaults(),
        seeds(),
        clock,
        meters,
        random);
  }

  private ConfigurationService configurationService(
      HttpObjectApi store, VertxTimers timers, Random random) {
    return new ConfigurationService(
        store, network, membership::view, clock, clock, random, timers, meters, this::configured);
  }

  private void membersChanged(MembershipView view) {
    placement.updateMembership(view);
    crashReports.membersChanged(view, clock.millis());
    Set<DaemonId> now = new HashSet<>();
    Set<DaemonId> dead = new HashSet<>();
    for (Member member : view.members()) {
      if (member.state().isReachable()) {
        now.add(member.id());
      } else if (member.state() == MemberState.DEAD) {
        dead.add(member.id());
      }
    }
    for (DaemonId before : reachable) {
      boolean superseded = now.stream().anyMatch(other -> other.supersedes(before));
      if (!now.contains(before) && (superseded || dead.contains(before))) {
        orphans.daemonFailed(before);
      }
    }
    reachable = now;
  }

  private void registerPackage(Class<?> neighbour, PeerMessageHandler handler) {
    PeerMessageType.ofPackage(neighbour).forEach(type -> network.register(type, handler));
  }

  private List<DaemonId> liveRuns() {
    return membership.view().members().stream()
        .filter(member -> member.state().isEligible())
        .map(Member::id)
        .toList();
  }

  private void configured(Configuration newer) {
    configuredAtMillis = clock.millis();
    placement.configure(newer);
  }

  private List<PeerAddress> seeds() {
    return settings.peers().stream()
        .map(peer -> new PeerAddress(peer.address(), peer.port()))
        .toList();
  }

  private PeerSettings peerSettings() {
    return new PeerSettings(
        settings.listen().peer().address(),
        settings.listen().peer().port(),
        settings.cluster().name(),
        settings.cluster().key(),
        self,
        settings.host().availabilityZone(),
        settings.host().region(),
        PeerBounds.defaults());
  }
}
