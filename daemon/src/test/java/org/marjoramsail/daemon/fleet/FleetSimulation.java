package org.marjoramsail.daemon.fleet;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.SplittableRandom;
import java.util.function.BiPredicate;
import java.util.random.RandomGenerator;
import org.marjoramsail.core.configuration.Configuration;
import org.marjoramsail.core.configuration.ModelDefinition;
import org.marjoramsail.core.configuration.OrganisationDefinition;
import org.marjoramsail.core.configuration.ServiceDefinition;
import org.marjoramsail.core.configuration.ServiceKind;
import org.marjoramsail.core.configuration.UpstreamDefinition;
import org.marjoramsail.core.failure.RefusalReason;
import org.marjoramsail.core.feedback.UpstreamFeedbackTable;
import org.marjoramsail.core.membership.MembershipSettings;
import org.marjoramsail.core.membership.MembershipView;
import org.marjoramsail.core.membership.VirtualFleet;
import org.marjoramsail.core.membership.VirtualHostStore;
import org.marjoramsail.core.message.PeerMessage;
import org.marjoramsail.core.model.DaemonId;
import org.marjoramsail.core.model.Repeatability;
import org.marjoramsail.core.model.RequestId;
import org.marjoramsail.core.model.ServiceClass;
import org.marjoramsail.core.model.StreamChunking;
import org.marjoramsail.core.model.UpstreamName;
import org.marjoramsail.core.model.UpstreamRole;
import org.marjoramsail.core.outcome.Invariants;
import org.marjoramsail.core.outcome.LifecyclePolicy;
import org.marjoramsail.core.outcome.Quarantine;
import org.marjoramsail.core.outcome.QuarantineListener;
import org.marjoramsail.core.outcome.RequestProfile;
import org.marjoramsail.core.placement.OrganisationUsageMessage;
import org.marjoramsail.core.placement.PlacementMessage;
import org.marjoramsail.core.placement.PlacementPolicy;
import org.marjoramsail.core.placement.PlacementSettings;
import org.marjoramsail.core.placement.PlacementTimings;
import org.marjoramsail.core.placement.RetryLimits;
import org.marjoramsail.daemon.metrics.RequestMetrics;
import org.marjoramsail.daemon.placement.ConfiguredShards;
import org.marjoramsail.daemon.placement.DistributedPlacement;
import org.marjoramsail.daemon.request.CallerPresence;
import org.marjoramsail.daemon.request.LatencyTargets;
import org.marjoramsail.daemon.request.LifecycleDependencies;
import org.marjoramsail.daemon.request.NewRequest;
import org.marjoramsail.daemon.request.NoClaims;
import org.marjoramsail.daemon.request.RequestDependencies;
import org.marjoramsail.daemon.request.RequestLog;
import org.marjoramsail.daemon.request.RequestRegistry;
import org.marjoramsail.standin.load.ArrivalLog;

/**
 * Simulation of a fleet of daemons before a model service and a plain service, on a virtual clock.
 *
 * <p>Each host runs the failure detector, the placement and the request code of a daemon. Hosts can
 * be killed, restarted and cut off from each other; upstreams can fail. Callers send each request
 * to a random running host.
 */
final class FleetSimulation {

  static final String PLAIN = "desk";
  static final String MODEL = "assistant";
  static final String ORGANISATION = "callers";

  /** Retries that the fleet may make for each request. */
  static final double RATIO = 0.2;

  private static final String REGION = "region";
  private static final int ZONES = 3;
  private static final long VIEW_MILLIS = 100;
  private static final long OWNER_TICK_MILLIS = 10;
  private static final long ENTRY_TICK_MILLIS = 100;
  private static final long USAGE_MILLIS = 200;
  private static final long TARGET_MILLIS = 700;
  private static final long DEADLINE_MILLIS = 2_500;
  private static final long STREAM_DEADLINE_MILLIS = 14_000;
  private static final int SHORT_OUTPUT_TOKENS = 20;
  private static final int PROMPT_TOKENS = 5_000;

  /**
   * Sizes of a deployment.
   *
   * @param hosts number of hosts
   * @param engines number of engines, a third of which prefills
   * @param plainServers number of plain servers
   * @param slack retries that the fleet may make in addition to the ratio, in each window
   */
  record Size(int hosts, int engines, int plainServers, double slack) {}

  /** Kind of the requests of a caller. */
  enum RequestKind {
    LOOKUP(PLAIN, Repeatability.IDEMPOTENT),
    BALLOT(PLAIN, Repeatability.AT_MOST_ONCE),
    RESUMABLE_STREAM(MODEL, Repeatability.IDEMPOTENT),
    STREAM(MODEL, Repeatability.AT_MOST_ONCE);

    private final String service;
    private final Repeatability repeatability;

    RequestKind(String service, Repeatability repeatability) {
      this.service = service;
      this.repeatability = repeatability;
    }

    boolean isStream() {
      return service.equals(MODEL);
    }
  }

  /**
   * Result of a request, as its caller sees it.
   *
   * @param kind its kind
   * @param sentAtMillis when the caller sent it
   * @param served whether the caller got a successful response
   */
  record End(RequestKind kind, long sentAtMillis, boolean served) {}

  private final Size size;
  private final RandomGenerator random;
  private final VirtualFleet members;
  private final long startMillis;
  private final EventQueue events = new EventQueue();
  private final Map<String, SimulatedHost> hosts = new LinkedHashMap<>();
  private final Map<String, MembershipView> views = new HashMap<>();
  private final Map<UpstreamName, SimulatedUpstream> upstreams = new LinkedHashMap<>();
  private final Map<String, ArrivalLog> arrivals = new HashMap<>();
  private final List<End> ends = new ArrayList<>();
  private final Map<RefusalReason, Integer> refusals = new EnumMap<>(RefusalReason.class);
  private final List<SimpleMeterRegistry> registries = new ArrayList<>();
  private BiPredicate<String, String> cut = (from, to) -> false;
  private Configuration configuration;
  private int outputTokens = SHORT_OUTPUT_TOKENS;
  private boolean hasHostList = true;
  private long longestMessageMillis = 2;
  private int callerRetries;
  private long placementMessages;
  private long sequence;

  FleetSimulation(Size size, long seed) {
    this(size, seed, List.of());
  }

  /** Creates a fleet whose callers belong to an organisation named {@link #ORGANISATION}. */
  FleetSimulation(Size size, long seed, List<OrganisationDefinition> organisations) {
    this.size = size;
    this.random = new SplittableRandom(seed);
    this.members =
        new VirtualFleet(MembershipSettings.defaults(), new Random(seed), (from, message) -> {});
    this.startMillis = members.millis();
    this.configuration = configuration(size, organisations);
    for (UpstreamDefinition upstream : configuration.upstreams()) {
      int waiting = upstream.role() == UpstreamRole.PLAIN ? 24 : 2;
      upstreams.put(
          upstream.name(),
          new SimulatedUpstream(
              upstream, upstream.slots() + waiting, this, new SplittableRandom(seed + 1)));
    }
    for (String service : List.of(PLAIN, MODEL)) {
      arrivals.put(service, new ArrivalLog(RATIO, size.slack()));
    }
  }

  /** Returns the time since the start, in milliseconds. */
  long now() {
    return members.millis() - startMillis;
  }

  void at(long millis, Runnable action) {
    events.at(millis, action);
  }

  void after(long millis, Runnable action) {
    events.at(now() + millis, action);
  }

  ArrivalLog arrivals(String service) {
    return arrivals.get(service);
  }

  List<End> ends() {
    return ends;
  }

  /** Returns the sum of a counter over all daemons that ever ran. */
  double counted(String counter, String tag, String value) {
    return registries.stream()
        .mapToDouble(
            meters ->
                meters.find(counter).tag(tag, value).counters().stream()
                    .mapToDouble(Counter::count)
                    .sum())
        .sum();
  }

  /** Returns the number of requests that were refused for a reason. */
  int refusals(RefusalReason reason) {
    return refusals.getOrDefault(reason, 0);
  }

  void refused(RefusalReason reason) {
    refusals.merge(reason, 1, Integer::sum);
  }

  long placementMessages() {
    return placementMessages;
  }

  SimulatedUpstream upstream(UpstreamName name) {
    return upstreams.get(name);
  }

  /** Returns the upstreams of a service. */
  List<SimulatedUpstream> upstreams(String service) {
    return upstreams.values().stream()
        .filter(upstream -> upstream.definition().service().equals(service))
        .toList();
  }

  /** Sets the length of the outputs of streams. */
  void outputTokens(int tokens) {
    outputTokens = tokens;
  }

  /** Lets daemons know the other hosts only from seeds and from each other. */
  void withoutHostList() {
    hasHostList = false;
  }

  /** Has daemons keep a record of their host in a store, before any host starts. */
  void withHostLeases(VirtualHostStore store, VirtualFleet.Network storeNetwork) {
    members.enableHostLeases(store, storeNetwork);
  }

  /** Sets the number of seeds, which are the first hosts, before any host starts. */
  void seedCount(int count) {
    members.seedCount(count);
  }

  /** Starts all hosts at the same moment. */
  void startAll() {
    if (hasHostList) {
      members.enableHostList();
    }
    for (int number = 0; number < size.hosts(); number++) {
      start(number);
    }
  }

  /** Starts a host for the first time. */
  void start(int number) {
    DaemonId id = members.start(name(number), "zone-" + number % ZONES, REGION);
    hosts.put(id.host(), newHost(id));
  }

  /** Kills the process of a host, and starts another after a time. */
  void restart(int number, long downMillis) {
    kill(number);
    after(
        downMillis,
        () -> {
          DaemonId id = members.restart(name(number));
          hosts.put(id.host(), newHost(id));
        });
  }

  /** Kills the process of a host; its peers see their connections to it end. */
  void kill(int number) {
    SimulatedHost killed = hosts.get(name(number));
    killed.stop();
    members.kill(killed.id().host());
    after(1, () -> running().forEach(host -> host.placement().connectionLost(killed.id())));
  }

  /** Kills the process of a host for good, and removes the host from the list of hosts. */
  void remove(int number) {
    kill(number);
    members.removeFromHostList(name(number));
  }

  /** Lets the process of a host handle nothing for a time, as if it had no processor. */
  void pause(int number, long millis) {
    SimulatedHost paused = hosts.get(name(number));
    paused.pauseUntil(now() + millis);
    members.pause(paused.id().host(), millis);
  }

  /** Sets the longest time that a placement message takes, of which at least one millisecond. */
  void longestMessageMillis(long millis) {
    longestMessageMillis = millis;
  }

  /** Sets the number of times that a caller repeats a request at once if it was not served. */
  void callerRetries(int retries) {
    callerRetries = retries;
  }

  /** Sets the properties of the network between the failure detectors. */
  void membershipNetwork(VirtualFleet.Network network) {
    members.network(network);
  }

  /** Lets no message pass between hosts for which the predicate holds. */
  void cut(BiPredicate<Integer, Integer> separated) {
    cut = (from, to) -> separated.test(number(from), number(to));
    members.cut((from, to) -> cut.test(from.host(), to.host()));
  }

  void healCuts() {
    cut = (from, to) -> false;
    members.healCuts();
  }

  /** Sends requests of one kind at random times, with an average rate per second. */
  void load(RequestKind kind, double perSecond, long fromMillis, long toMillis) {
    double next = fromMillis;
    while (next < toMillis) {
      at((long) next, () -> send(kind));
      next += -Math.log(1 - random.nextDouble()) * 1_000 / perSecond;
    }
  }

  /** Runs until a time. */
  void run(long untilMillis) {
    every(VIEW_MILLIS, untilMillis, () -> awake().forEach(this::updateView));
    every(OWNER_TICK_MILLIS, untilMillis, () -> awake().forEach(this::tickOwner));
    every(ENTRY_TICK_MILLIS, untilMillis, () -> awake().forEach(this::tickEntry));
    every(USAGE_MILLIS, untilMillis, () -> awake().forEach(FleetSimulation::shareUsage));
    while (now() < untilMillis) {
      events.runDue(now());
      members.run(1);
    }
  }

  private void every(long periodMillis, long untilMillis, Runnable action) {
    for (long millis = now(); millis < untilMillis; millis += periodMillis) {
      at(millis, action);
    }
  }

  private void tickOwner(SimulatedHost host) {
    if (host.placement().isOwner()) {
      host.placement().tickOwned();
    }
  }

  private void tickEntry(SimulatedHost host) {
    if (host.placement().isEntryBusy()) {
      host.placement().tickEntry();
    }
  }

  private static void shareUsage(SimulatedHost host) {
    host.placement().shareUsage();
  }

  private void updateView(SimulatedHost host) {
    MembershipView view = members.view(host.id().host());
    if (!view.equals(views.put(host.id().host(), view))) {
      host.placement().updateMembership(view);
    }
  }

  private List<SimulatedHost> running() {
    return hosts.values().stream().filter(SimulatedHost::isRunning).toList();
  }

  private List<SimulatedHost> awake() {
    return running().stream().filter(host -> !host.isPaused(now())).toList();
  }

  private SimulatedHost newHost(DaemonId id) {
    MembershipView view = members.view(id.host());
    views.put(id.host(), view);
    Random hostRandom = new Random(random.nextLong());
    ConfiguredShards shards =
        new ConfiguredShards(
            view.self(),
            PlacementPolicy.RESERVE,
            PlacementSettings.forShortLivedCaches(),
            hostRandom,
            members::millis);
    SimpleMeterRegistry meters = new SimpleMeterRegistry();
    registries.add(meters);
    DistributedPlacement placement =
        new DistributedPlacement(
            id,
            shards,
            (to, message) -> transmit(id, to, message),
            PlacementTimings.standard(),
            new RetryLimits(RATIO, size.slack()),
            members::millis,
            meters,
            new UpstreamFeedbackTable());
    placement.configure(configuration);
    placement.updateMembership(view);
    Invariants invariants = new Invariants(Invariants.Mode.THROW);
    RequestRegistry registry =
        new RequestRegistry(
            new RequestDependencies(placement, new NoClaims()),
            new LifecycleDependencies(
                new Quarantine(600_000, 500, 10_000, QuarantineListener.NONE),
                invariants,
                () -> {}),
            new RequestMetrics(meters, invariants),
            new RequestLog(() -> ""),
            members::millis,
            (delayMillis, task) -> after(delayMillis, () -> runIfCurrent(id, task)),
            hostRandom);
    return new SimulatedHost(id, placement, registry);
  }

  private void runIfCurrent(DaemonId id, Runnable task) {
    if (isCurrent(id)) {
      hosts.get(id.host()).whenAwake(this, task);
    }
  }

  private boolean isCurrent(DaemonId id) {
    SimulatedHost host = hosts.get(id.host());
    return host.isRunning() && host.id().equals(id);
  }

  private void transmit(DaemonId from, DaemonId to, PeerMessage message) {
    placementMessages++;
    if (cut.test(from.host(), to.host())) {
      return;
    }
    after(1 + random.nextLong(longestMessageMillis), () -> deliver(from, to, message));
  }

  private void deliver(DaemonId from, DaemonId to, PeerMessage message) {
    if (!isCurrent(to)) {
      after(1, () -> runIfCurrent(from, () -> connectionLost(from, to)));
      return;
    }
    hosts.get(to.host()).whenAwake(this, () -> handle(from, to, message));
  }

  private void handle(DaemonId from, DaemonId to, PeerMessage message) {
    if (message instanceof PlacementMessage placementMessage) {
      hosts.get(to.host()).placement().receive(from, placementMessage);
    } else if (message instanceof OrganisationUsageMessage usage) {
      hosts.get(to.host()).placement().receiveUsage(usage);
    }
  }

  private void connectionLost(DaemonId at, DaemonId to) {
    hosts.get(at.host()).placement().connectionLost(to);
  }

  private void send(RequestKind kind) {
    send(kind, callerRetries);
  }

  private void send(RequestKind kind, int retriesLeft) {
    long sentAtMillis = now();
    arrivals(kind.service).requested(sentAtMillis);
    List<SimulatedHost> choices = running();
    if (choices.isEmpty()) {
      ends.add(new End(kind, sentAtMillis, false));
      return;
    }
    SimulatedHost host = choices.get(random.nextInt(choices.size()));
    host.whenAwake(this, () -> receive(host, kind, sentAtMillis, retriesLeft));
  }

  private void ended(RequestKind kind, long sentAtMillis, boolean served, int retriesLeft) {
    ends.add(new End(kind, sentAtMillis, served));
    if (!served && retriesLeft > 0) {
      after(1, () -> send(kind, retriesLeft - 1));
    }
  }

  private void receive(SimulatedHost host, RequestKind kind, long sentAtMillis, int retriesLeft) {
    String request = "request-" + sequence++;
    RequestProfile profile = profile(kind, host.id(), request);
    SimulatedHost.Exchange exchange =
        new SimulatedHost.Exchange(
            this, host, profile, request, served -> ended(kind, sentAtMillis, served, retriesLeft));
    host.registry()
        .register(
            new NewRequest(
                profile,
                policy(kind),
                exchange,
                Optional.empty(),
                TARGET_MILLIS,
                new LatencyTargets(TARGET_MILLIS, LatencyTargets.NO_GAP_LIMIT),
                exchange,
                CallerPresence.ALWAYS,
                Runnable::run));
  }

  private RequestProfile profile(RequestKind kind, DaemonId entry, String request) {
    long nowMillis = members.millis();
    long deadlineMillis = kind.isStream() ? STREAM_DEADLINE_MILLIS : DEADLINE_MILLIS;
    return new RequestProfile(
        new RequestId(request),
        entry,
        kind.service,
        ORGANISATION,
        kind.name(),
        ServiceClass.TIMELY,
        kind.repeatability,
        kind.isStream(),
        false,
        kind.isStream() ? PROMPT_TOKENS : 0,
        kind.isStream() ? outputTokens : 0,
        List.of(),
        sequence,
        nowMillis,
        nowMillis + TARGET_MILLIS,
        nowMillis + deadlineMillis,
        StreamChunking.SINGLE_TOKENS,
        0,
        Optional.empty(),
        List.of(),
        0);
  }

  private static LifecyclePolicy policy(RequestKind kind) {
    int sends = kind.repeatability.isResendable() ? 2 : 1;
    long never = Long.MAX_VALUE / 4;
    return new LifecyclePolicy(
        sends + 4, 5, 100, 100, 400, 1_500, 80, 600, 1_200, sends, 500, never);
  }

  private static String name(int number) {
    return "host-" + number;
  }

  private static int number(String host) {
    return Integer.parseInt(host.substring("host-".length()));
  }

  private static Configuration configuration(
      Size size, List<OrganisationDefinition> organisations) {
    List<UpstreamDefinition> upstreams = new ArrayList<>();
    for (int number = 0; number < size.engines(); number++) {
      UpstreamRole role = number % 3 == 0 ? UpstreamRole.PREFILL : UpstreamRole.DECODE;
      upstreams.add(upstream(MODEL, "engine-" + number, role, 16, number));
    }
    for (int number = 0; number < size.plainServers(); number++) {
      upstreams.add(upstream(PLAIN, "plain-" + number, UpstreamRole.PLAIN, 6, number));
    }
    return new Configuration(
        1,
        List.of(
            new ServiceDefinition(MODEL, ServiceKind.MODEL, Optional.of("model")),
            new ServiceDefinition(PLAIN, ServiceKind.PLAIN, Optional.empty())),
        List.of(new ModelDefinition("model", "1", List.of(), 18_432)),
        upstreams,
        List.of(),
        organisations);
  }

  private static UpstreamDefinition upstream(
      String service, String name, UpstreamRole role, int slots, int number) {
    return new UpstreamDefinition(
        new UpstreamName(name),
        service,
        role,
        "127.0.0.1",
        1,
        "zone-" + number % ZONES,
        REGION,
        slots,
        true,
        false);
  }
}
