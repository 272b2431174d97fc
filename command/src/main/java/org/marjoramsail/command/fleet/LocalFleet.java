package org.marjoramsail.command.fleet;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.marjoramsail.core.configuration.ConfigurationRoot;
import org.marjoramsail.core.configuration.UpstreamDefinition;
import org.marjoramsail.core.model.UpstreamName;
import org.marjoramsail.core.model.UpstreamRole;
import org.marjoramsail.core.time.Clock;
import org.marjoramsail.daemon.configuration.ConfigurationFormat;
import org.marjoramsail.daemon.platform.HttpObjectApi;
import org.marjoramsail.daemon.platform.HttpObjectApiSettings;
import org.marjoramsail.daemon.settings.AdministrationSettings;
import org.marjoramsail.daemon.settings.ClusterSettings;
import org.marjoramsail.daemon.settings.Endpoint;
import org.marjoramsail.daemon.settings.HostSettings;
import org.marjoramsail.daemon.settings.ListenSettings;
import org.marjoramsail.daemon.settings.OperatorRole;
import org.marjoramsail.daemon.settings.OperatorToken;
import org.marjoramsail.daemon.settings.PlacementSettings;
import org.marjoramsail.daemon.settings.Settings;
import org.marjoramsail.standin.engine.EngineSettings;
import org.marjoramsail.standin.engine.EngineStandIn;
import org.marjoramsail.standin.engine.OrderTokenPolicy;
import org.marjoramsail.standin.load.FleetAudit;
import org.marjoramsail.standin.load.LoadTarget;
import org.marjoramsail.standin.plain.PlainServiceStandIn;
import org.marjoramsail.standin.plain.PlainSettings;
import org.marjoramsail.standin.platform.PlatformHost;
import org.marjoramsail.standin.platform.PlatformSettings;
import org.marjoramsail.standin.platform.PlatformStandIn;
import org.marjoramsail.standin.server.PortReservation;

/**
 * A deployment at its size of today in one process: the platform stand-in, engines, plain services
 * and daemons, each on loopback ports of its own.
 */
public final class LocalFleet {

  /** The bearer token of an administrator of every local fleet. */
  public static final String OPERATOR_TOKEN = "local-operator";

  private static final String LOOPBACK = "127.0.0.1";
  private static final String CLUSTER_KEY = "key of a fleet in one process";
  private static final long SETTLE_POLL_MILLIS = 50;
  private static final int RESTART_TRIES = 40;
  private static final long RESTART_PAUSE_MILLIS = 250;

  private final Vertx vertx;
  private final Clock clock;
  private final FleetSetup setup;
  private final FleetDaemonFactory factory;
  private final SplittableRandom random;
  private final PlatformStandIn platform;
  private final List<EngineStandIn> engines = new ArrayList<>();
  private final List<PlainServiceStandIn> plainServers = new ArrayList<>();
  private final List<FleetDaemon> daemons = new CopyOnWriteArrayList<>();
  private final List<FleetDaemon> killed = new CopyOnWriteArrayList<>();
  private final Map<Integer, List<PortReservation>> reservations = new ConcurrentHashMap<>();
  private final List<UpstreamDefinition> upstreams = new ArrayList<>();
  private int platformPort;

  /** Creates an instance with all that it needs; nothing runs before {@link #start()}. */
  public LocalFleet(Vertx vertx, Clock clock, FleetSetup setup, FleetDaemonFactory factory) {
    this.vertx = vertx;
    this.clock = clock;
    this.setup = setup;
    this.factory = factory;
    this.random = new SplittableRandom(setup.seed());
    this.platform = new PlatformStandIn(vertx, PlatformSettings.defaults(), clock, random.split());
  }

  /** Starts everything, the daemons last; done once every daemon listens. */
  public Future<Void> start() {
    return platform
        .start()
        .onSuccess(port -> platformPort = port)
        .compose(port -> startServers())
        .compose(nothing -> storeConfiguration())
        .compose(nothing -> startDaemons());
  }

  /** Where callers send requests. */
  public List<LoadTarget> targets() {
    List<LoadTarget> targets = new ArrayList<>();
    for (FleetDaemon daemon : daemons) {
      targets.add(
          new LoadTarget(
              daemonName(targets.size()),
              LOOPBACK,
              daemon.callerPort(),
              Optional.of(daemon.operatorPort())));
    }
    return targets;
  }

  /** Starts one more daemon, which is told of those before it. */
  public Future<FleetDaemon> startAnother() {
    return startDaemon(daemons.size()).map(nothing -> daemons.get(daemons.size() - 1));
  }

  /** The daemons, in the order of their start. */
  public List<FleetDaemon> daemons() {
    return Collections.unmodifiableList(daemons);
  }

  /** The engines, prefill engines first. */
  public List<EngineStandIn> engines() {
    return Collections.unmodifiableList(engines);
  }

  /** The servers of the plain service. */
  public List<PlainServiceStandIn> plainServers() {
    return Collections.unmodifiableList(plainServers);
  }

  /** The servers as the daemons are told of them. */
  public List<UpstreamDefinition> upstreams() {
    return List.copyOf(upstreams);
  }

  /** The platform. */
  public PlatformStandIn platform() {
    return platform;
  }

  /** Ends a daemon at once; its ports are held for {@link #restartDaemon}. */
  public Future<Void> killDaemon(int number) {
    FleetDaemon daemon = daemons.get(number);
    killed.add(daemon);
    return daemon.kill().onSuccess(nothing -> reservations.put(number, reserve(daemon)));
  }

  /**
   * Starts a killed daemon anew, on the same host name and ports.
   *
   * <p>Another socket of the machine may hold one of its ports for a moment as the near end of a
   * connection; the start is then tried again.
   */
  public Future<Void> restartDaemon(int number) {
    return restartDaemon(number, RESTART_TRIES);
  }

  private Future<Void> restartDaemon(int number, int tries) {
    FleetDaemon before = daemons.get(number);
    ListenSettings ports =
        new ListenSettings(
            new Endpoint(LOOPBACK, before.callerPort()),
            new Endpoint(LOOPBACK, before.operatorPort()),
            new Endpoint(LOOPBACK, before.peerPort()));
    List<Endpoint> peers =
        daemons.stream()
            .filter(daemon -> daemon != before)
            .map(daemon -> new Endpoint(LOOPBACK, daemon.peerPort()))
            .toList();
    Optional.ofNullable(reservations.remove(number))
        .ifPresent(held -> held.forEach(PortReservation::close));
    return factory
        .start(settings(number, ports, peers))
        .<Void>map(
            daemon -> {
              daemons.set(number, daemon);
              return null;
            })
        .recover(
            failure ->
                tries == 0
                    ? Future.failedFuture(failure)
                    : vertx
                        .timer(RESTART_PAUSE_MILLIS, TimeUnit.MILLISECONDS)
                        .compose(nothing -> restartDaemon(number, tries - 1)));
  }

  private static List<PortReservation> reserve(FleetDaemon daemon) {
    return Stream.of(daemon.callerPort(), daemon.operatorPort(), daemon.peerPort())
        .map(port -> new PortReservation(LOOPBACK, port))
        .toList();
  }

  /** How often an invariant did not hold inside each daemon, those included that were killed. */
  public List<OptionalLong> daemonViolations() {
    return Stream.concat(daemons.stream(), killed.stream()).map(FleetDaemon::violations).toList();
  }

  /** Waits until the engines hold nothing, at most for a time, and merges what all counted. */
  public Future<FleetAudit> audit(long patienceMillis) {
    Promise<FleetAudit> audit = Promise.promise();
    pollAudit(audit, clock.millis() + patienceMillis);
    return audit.future();
  }

  /** Stops everything, the daemons first and without cutting off a request. */
  public Future<Void> stop() {
    return Future.join(daemons.stream().map(FleetDaemon::stop).toList())
        .eventually(() -> stopServers())
        .mapEmpty();
  }

  private Future<?> stopServers() {
    Stream<Future<Void>> stops =
        Stream.concat(
            engines.stream().map(EngineStandIn::stop),
            plainServers.stream().map(PlainServiceStandIn::stop));
    return Future.join(stops.toList()).eventually(platform::stop);
  }

  private Future<Void> startServers() {
    Deployment.ServerCounts counts = setup.deployment().servers();
    List<Future<Integer>> starts = new ArrayList<>();
    for (int number = 0; number < counts.prefillEngines(); number++) {
      starts.add(startEngine(UpstreamRole.PREFILL, number));
    }
    for (int number = 0; number < counts.decodeEngines(); number++) {
      starts.add(startEngine(UpstreamRole.DECODE, number));
    }
    for (int number = 0; number < counts.plainServers(); number++) {
      starts.add(startPlainServer(number));
    }
    return Future.all(starts).mapEmpty();
  }

  /** Every second engine ignores fencing tokens, as the users' engines do in part. */
  private Future<Integer> startEngine(UpstreamRole role, int number) {
    String model = setup.deployment().servers().model();
    String name = "%s-%s-%d".formatted(model, role == UpstreamRole.PREFILL ? "p" : "d", number);
    boolean fenced = number % 2 == 0;
    EngineSettings settings =
        EngineSettings.of(name, role, model, setup.timings())
            .withTokenPolicy(fenced ? OrderTokenPolicy.CHECKED : OrderTokenPolicy.IGNORED);
    EngineStandIn engine = new EngineStandIn(vertx, settings, clock, random.split());
    engines.add(engine);
    return engine
        .start()
        .onSuccess(port -> define(name, model, role, number, port, settings.slots(), fenced));
  }

  private Future<Integer> startPlainServer(int number) {
    String service = setup.deployment().servers().plain();
    PlainSettings settings = PlainSettings.of("%s-%d".formatted(service, number));
    PlainServiceStandIn server = new PlainServiceStandIn(vertx, settings, clock, random.split());
    plainServers.add(server);
    return server
        .start()
        .onSuccess(
            port ->
                define(
                    settings.name(),
                    service,
                    UpstreamRole.PLAIN,
                    number,
                    port,
                    settings.slots(),
                    false));
  }

  private synchronized void define(
      String name,
      String service,
      UpstreamRole role,
      int number,
      int port,
      int slots,
      boolean fenced) {
    String zone = setup.deployment().availabilityZone(number);
    String region = setup.deployment().region();
    upstreams.add(
        new UpstreamDefinition(
            new UpstreamName(name),
            service,
            role,
            LOOPBACK,
            port,
            zone,
            region,
            slots,
            fenced,
            false));
    listHost(name, PlatformHost.Kind.UPSTREAM, port, zone);
  }

  private void listHost(String name, PlatformHost.Kind kind, int port, String zone) {
    platform
        .hostList()
        .add(
            new PlatformHost(
                name,
                kind,
                LOOPBACK,
                port,
                zone,
                setup.deployment().region(),
                PlatformHost.State.LIVE));
  }

  private Future<Void> storeConfiguration() {
    ConfigurationRoot root =
        new ConfigurationRoot(
            FleetConfiguration.of(
                setup.deployment(), upstreams, engines.get(0).settings().kvBytesPerToken()),
            List.of());
    HttpObjectApi store =
        new HttpObjectApi(
            vertx,
            HttpObjectApiSettings.defaults(LOOPBACK, platformPort),
            new SimpleMeterRegistry());
    return store.create("configurations", "root", ConfigurationFormat.toTree(root)).mapEmpty();
  }

  /** One after the other, so that each is told of those before it. */
  private Future<Void> startDaemons() {
    Future<Void> started = Future.succeededFuture();
    for (int number = 0; number < setup.daemons(); number++) {
      int each = number;
      started = started.compose(nothing -> startDaemon(each));
    }
    return started;
  }

  private Future<Void> startDaemon(int number) {
    List<Endpoint> peers =
        daemons.stream().map(daemon -> new Endpoint(LOOPBACK, daemon.peerPort())).toList();
    return factory
        .start(settings(number, ListenSettings.onFreePorts(LOOPBACK), peers))
        .map(
            daemon -> {
              daemons.add(daemon);
              listHost(
                  daemonName(number),
                  PlatformHost.Kind.DAEMON,
                  daemon.peerPort(),
                  setup.deployment().availabilityZone(number));
              return null;
            });
  }

  private Settings settings(int number, ListenSettings listen, List<Endpoint> peers) {
    Deployment deployment = setup.deployment();
    HostSettings host =
        new HostSettings(
            daemonName(number), deployment.availabilityZone(number), deployment.region());
    OperatorToken token =
        new OperatorToken(
            "local",
            FleetConfiguration.sha256(OPERATOR_TOKEN),
            OperatorRole.ADMINISTRATOR,
            Optional.empty());
    return Settings.of(
            host,
            new ClusterSettings("local", CLUSTER_KEY),
            listen,
            new Endpoint(LOOPBACK, platformPort))
        .withPeers(peers)
        .withPlacement(new PlacementSettings(setup.policy()))
        .withAdministration(AdministrationSettings.DEFAULT.withTokens(List.of(token)));
  }

  private static String daemonName(int number) {
    return "entry-" + (number + 1);
  }

  private void pollAudit(Promise<FleetAudit> promise, long until) {
    FleetAudit audit = FleetAudits.merge(engines, plainServers);
    if (audit.heldAtEnd() == 0 || clock.millis() >= until) {
      promise.complete(audit);
      return;
    }
    vertx.setTimer(SETTLE_POLL_MILLIS, timer -> pollAudit(promise, until));
  }
}
