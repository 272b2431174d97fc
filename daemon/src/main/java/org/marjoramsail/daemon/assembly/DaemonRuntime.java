package org.marjoramsail.daemon.assembly;

import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.security.SecureRandom;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import org.marjoramsail.core.claim.ClaimMessage;
import org.marjoramsail.core.claim.ClaimSettings;
import org.marjoramsail.core.configuration.Configuration;
import org.marjoramsail.core.membership.Member;
import org.marjoramsail.core.membership.MemberState;
import org.marjoramsail.core.membership.MembershipView;
import org.marjoramsail.core.membership.PeerAddress;
import org.marjoramsail.core.message.PeerMessageHandler;
import org.marjoramsail.core.model.DaemonId;
import org.marjoramsail.core.outcome.CrashReportMessage;
import org.marjoramsail.core.outcome.Invariants;
import org.marjoramsail.core.placement.PlacementMessage;
import org.marjoramsail.core.placement.PlacementPolicy;
import org.marjoramsail.core.placement.PlacementSettings;
import org.marjoramsail.core.placement.PlacementTimings;
import org.marjoramsail.core.time.Clock;
import org.marjoramsail.daemon.claim.PeerClaimService;
import org.marjoramsail.daemon.configuration.ConfigurationService;
import org.marjoramsail.daemon.configuration.VertxTimers;
import org.marjoramsail.daemon.main.RunningDaemon;
import org.marjoramsail.daemon.main.StopPhase;
import org.marjoramsail.daemon.main.UnfinishedWork;
import org.marjoramsail.daemon.peer.PeerBounds;
import org.marjoramsail.daemon.peer.PeerFaults;
import org.marjoramsail.daemon.peer.PeerMessageType;
import org.marjoramsail.daemon.peer.PeerNetwork;
import org.marjoramsail.daemon.peer.PeerSettings;
import org.marjoramsail.daemon.placement.ConfiguredShards;
import org.marjoramsail.daemon.placement.DistributedPlacement;
import org.marjoramsail.daemon.platform.HttpObjectApi;
import org.marjoramsail.daemon.platform.HttpObjectApiSettings;
import org.marjoramsail.daemon.request.StoredClaims;
import org.marjoramsail.daemon.settings.Settings;
import org.marjoramsail.daemon.upstream.UpstreamWatch;

/** A whole daemon: its parts, started and stopped in order. */
public final class DaemonRuntime implements RunningDaemon {

  private static final long WATCH_MILLIS = 500;
  private static final long CRASH_SPREAD_MILLIS = 100;

  private final Vertx vertx;
  private final Settings settings;
  private final Clock clock;
  private final DaemonId self;
  private final PrometheusMeterRegistry meters =
      new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
  private final AtomicBoolean paused = new AtomicBoolean();
  private final PeerNetwork network;
  private final ConfigurationService configuration;
  private final ConfiguredShards shards;
  private final DistributedPlacement placement;
  private final PeerClaimService claims;
  private final RequestParts requests;
  private final PlacementParts placementParts;
  private final UpstreamWatch upstreams;
  private volatile MembershipView view;
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
    SecureRandom secure = new SecureRandom();
    Random random = new Random(secure.nextLong());
    this.self = new DaemonId(settings.host().name(), clock.millis());
    this.view = new MembershipView(member(0), List.of(member(0)));
    this.network =
        new PeerNetwork(
            vertx, peerSettings(), clock, meters, secure, this::addressOf, PeerFaults.NONE);
    HttpObjectApi store =
        new HttpObjectApi(
            vertx,
            HttpObjectApiSettings.defaults(
                settings.platform().address(), settings.platform().port()),
            meters);
    this.configuration =
        new ConfigurationService(
            store,
            network,
            () -> view,
            clock,
            clock,
            random,
            new VertxTimers(vertx),
            meters,
            this::configured);
    this.shards =
        new ConfiguredShards(
            member(0),
            PlacementPolicy.ofCode(settings.placement().policy()).orElse(PlacementPolicy.RESERVE),
            PlacementSettings.defaults(),
            random,
            clock);
    this.placement =
        new DistributedPlacement(self, shards, network, PlacementTimings.standard(), clock, meters);
    this.claims =
        new PeerClaimService(
            vertx, self, ClaimSettings.defaults(), store, network, this::liveRuns, clock, meters);
    this.requests =
        new RequestParts(
            vertx,
            settings,
            self,
            configuration::current,
            placement,
            new StoredClaims(claims),
            new Invariants(mode),
            clock,
            random,
            meters);
    this.placementParts =
        new PlacementParts(
            placement,
            shards,
            requests.quarantine,
            requests.registry,
            requests.directory,
            clock,
            paused);
    this.upstreams =
        new UpstreamWatch(
            vertx,
            requests.engines,
            requests.plainServices,
            placementParts::watched,
            placementParts,
            clock,
            random,
            WATCH_MILLIS);
  }

  /** Starts all parts; done once callers are served. */
  public Future<DaemonRuntime> start() {
    PeerMessageType.ofFamily(PlacementMessage.class)
        .forEach(
            type ->
                network.register(
                    type, (from, message) -> placement.heard(from, (PlacementMessage) message)));
    network.register(
        CrashReportMessage.class,
        (from, message) ->
            requests.quarantine.handle((CrashReportMessage) message, clock.millis()));
    registerPackage(Configuration.class, configuration);
    registerPackage(ClaimMessage.class, claims);
    return network
        .start()
        .onSuccess(port -> peerPort = port)
        .compose(
            port -> {
              configuration.start();
              claims.start();
              placementParts.start(vertx);
              upstreams.start();
              vertx.setPeriodic(CRASH_SPREAD_MILLIS, timer -> spreadCrashes());
              return requests.callers.start();
            })
        .map(
            port -> {
              callerPort = port;
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

  @Override
  public CompletionStage<Void> stop(Consumer<StopPhase> listener) {
    listener.accept(StopPhase.NOT_READY);
    return requests
        .callers
        .stop(settings.limits().leaveMillis(), settings.limits().stopMillis())
        .compose(
            running -> {
              listener.accept(StopPhase.CLOSING);
              upstreams.stop();
              placementParts.stop(vertx);
              configuration.stop();
              claims.stop();
              return network.stop();
            })
        .toCompletionStage();
  }

  @Override
  public UnfinishedWork unfinished() {
    return new UnfinishedWork(requests.registry.size(), 0, placement.views().size());
  }

  private void registerPackage(Class<?> neighbour, PeerMessageHandler handler) {
    PeerMessageType.ofPackage(neighbour).forEach(type -> network.register(type, handler));
  }

  private List<DaemonId> liveRuns() {
    return view.members().stream()
        .filter(member -> member.state().isEligible())
        .map(Member::id)
        .toList();
  }

  private void configured(Configuration newer) {
    placement.configure(newer);
  }

  private void spreadCrashes() {
    List<CrashReportMessage> messages = requests.quarantine.takeMessages();
    for (CrashReportMessage message : messages) {
      for (Member member : view.members()) {
        if (member.state().isReachable() && !member.id().equals(self)) {
          network.send(member.id(), message);
        }
      }
    }
  }

  private Member member(int port) {
    return new Member(
        self,
        settings.listen().peer().address(),
        port,
        settings.host().availabilityZone(),
        settings.host().region(),
        MemberState.ALIVE);
  }

  private Optional<PeerAddress> addressOf(DaemonId daemon) {
    return view.members().stream()
        .filter(member -> member.id().equals(daemon))
        .map(member -> new PeerAddress(member.address(), member.port()))
        .findFirst();
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
