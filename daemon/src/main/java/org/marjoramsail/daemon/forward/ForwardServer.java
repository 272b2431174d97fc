package org.marjoramsail.daemon.forward;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.marjoramsail.core.configuration.UpstreamDefinition;
import org.marjoramsail.core.failure.Refusal;
import org.marjoramsail.core.model.Incarnation;
import org.marjoramsail.core.model.UpstreamName;
import org.marjoramsail.core.outcome.RequestProfile;
import org.marjoramsail.core.routing.CallerLimits;
import org.marjoramsail.core.routing.ForwardingRules;
import org.marjoramsail.core.routing.PlainResponseTimes;
import org.marjoramsail.core.routing.Route;
import org.marjoramsail.core.routing.RunTimes;
import org.marjoramsail.core.stream.StreamOrigin;
import org.marjoramsail.daemon.connection.HeadRule;
import org.marjoramsail.daemon.connection.ListeningPort;
import org.marjoramsail.daemon.connection.ServerOptions;
import org.marjoramsail.daemon.request.HttpCallerPresence;
import org.marjoramsail.daemon.request.LatencyTargets;
import org.marjoramsail.daemon.request.NewRequest;
import org.marjoramsail.daemon.request.RequestHandle;

/** HTTP server for callers whose requests are forwarded unchanged. Runs on one event loop. */
public final class ForwardServer {

  /** Exceeds the idle timeout of callers, so that the caller closes an idle connection first. */
  private static final long IDLE_TIMEOUT_MILLIS = 60_000;

  private static final int MAXIMUM_HEAD_BYTES = 64 * 1024;
  private static final int BACKLOG = 1_024;

  private final Vertx vertx;
  private final ForwardServerDependencies dependencies;
  private final BufferedBytes bufferedBytes = new BufferedBytes();
  private final ForwardDependencies exchangeDependencies;
  private final RefusalWriter refusals;
  private final RequestGuard guard;
  private final RequestAdmission admission;
  private final UnroutedRequestLog unrouted;
  private final UnconfirmedRequests unconfirmed = new UnconfirmedRequests();
  private final BodyMemory bodyMemory;
  private final PlainResponseTimes plainResponseTimes = new PlainResponseTimes();
  private final RunTimes runTimes = new RunTimes();
  private final PathMonitor paths;
  private final RelayServer relayServer;
  private final ResumedStreams resumedStreams;
  private final ForwardProfiles profiles;
  private final ListeningPort port;
  private final CallerConnections connections;
  private final StopState stop;
  private HttpServer server;

  /**
   * Creates a server that does not listen yet.
   *
   * @param vertx runs the event loop
   * @param dependencies the other parts of the daemon
   * @param json writes the bodies of refusals
   */
  public ForwardServer(Vertx vertx, ForwardServerDependencies dependencies, ObjectMapper json) {
    this.vertx = vertx;
    this.dependencies = dependencies;
    this.port = new ListeningPort(vertx);
    this.connections = new CallerConnections(vertx, dependencies.protocol()::attemptOf);
    this.stop = new StopState(dependencies.clock(), runTimes);
    ConnectionCloseHeader connectionCloseHeader = new ConnectionCloseHeader(stop::isAnnounced);
    this.refusals =
        new RefusalWriter(
            dependencies.protocol(), json, dependencies.random(), connectionCloseHeader);
    this.guard = new RequestGuard(this::reject, dependencies.meters());
    this.unrouted = new UnroutedRequestLog(dependencies.routes(), dependencies.clock());
    this.bodyMemory = new BodyMemory(dependencies.bodyMemoryBytes());
    this.admission = new RequestAdmission(dependencies.routing(), bodyMemory);
    UpstreamConnections upstreamConnections =
        new UpstreamConnections(
            vertx,
            dependencies.clock(),
            new ConnectResults(),
            dependencies.connectFaults(),
            this::relay,
            dependencies.relays()::failed);
    this.paths =
        new PathMonitor(dependencies.clock(), dependencies.random(), upstreamConnections::open);
    ListAgeLog listAges =
        new ListAgeLog(() -> dependencies.versions().ageMillis(), dependencies.meters());
    this.relayServer =
        new RelayServer(
            vertx,
            dependencies.relayToken(),
            dependencies.protocol(),
            dependencies.upstreams(),
            UpstreamConnections.direct(
                vertx, dependencies.clock(), new ConnectResults(), dependencies.connectFaults()),
            new CallLog(dependencies.clock(), () -> {}, dependencies.liveness(), listAges),
            () -> !paths.isCutOff() && !stop.isAnnounced());
    this.resumedStreams =
        new ResumedStreams(
            dependencies.streams(),
            dependencies.versions(),
            dependencies.lists(),
            dependencies.meters());
    this.profiles =
        new ForwardProfiles(
            dependencies.daemon(),
            dependencies.forecast(),
            dependencies.tokensPerEvent(),
            this::urgencyOf);
    this.exchangeDependencies =
        new ForwardDependencies(
            dependencies.protocol(),
            upstreamConnections,
            new CallLog(dependencies.clock(), paths::received, dependencies.liveness(), listAges),
            bufferedBytes,
            dependencies.upstreams(),
            dependencies.handleLifetimeMillis(),
            dependencies.liveness(),
            new UpstreamProbes(
                vertx, upstreamConnections, dependencies.liveness(), dependencies.clock()),
            dependencies.feedback(),
            dependencies.streams(),
            this::recordOutputLength,
            plainResponseTimes::update,
            runTimes::update,
            connectionCloseHeader,
            refusals,
            dependencies.clock());
  }

  /**
   * Starts to listen.
   *
   * @return the port
   */
  public Future<Integer> start(String address, int port) {
    HttpServerOptions options =
        ServerOptions.http1()
            .setHost(address)
            .setPort(port)
            .setAcceptBacklog(BACKLOG)
            .setTcpNoDelay(true)
            .setTcpKeepAlive(true)
            .setMaxHeaderSize(MAXIMUM_HEAD_BYTES)
            .setMaxInitialLineLength(MAXIMUM_HEAD_BYTES)
            .setIdleTimeout(Math.toIntExact(IDLE_TIMEOUT_MILLIS))
            .setIdleTimeoutUnit(TimeUnit.MILLISECONDS);
    server =
        vertx
            .createHttpServer(options)
            .connectionHandler(this::opened)
            .requestHandler(request -> guard.run(request, "", () -> receive(request)));
    return server.listen().map(HttpServer::actualPort);
  }

  /**
   * Adds {@code connection: close} to all responses from now on, and refuses requests of which the
   * head is read after a time, or that are read whole after another.
   */
  public void announceStop(long refuseFromMillis, long refuseAllFromMillis) {
    stop.announce(refuseFromMillis, refuseAllFromMillis);
  }

  /**
   * Accepts no further connections; requests on those that are open are served.
   *
   * @return completes on the context of the caller
   */
  public Future<Void> closePort() {
    return Future.join(port.close(), relayServer.closePort()).mapEmpty();
  }

  /**
   * Refuses new requests and closes idle connections. Each other connection is closed once its
   * response is written, or when the time has passed.
   */
  public void shutdown(long withinMillis) {
    stop.refuse();
    Future<Void> unused = server.shutdown(withinMillis, TimeUnit.MILLISECONDS);
    relayServer.shutdown(withinMillis);
  }

  /** Refuses requests that wait for an upstream and would not end before the limit of the stop. */
  public void refuseLateStarts() {
    dependencies
        .registry()
        .refuseStarts(
            profile -> !stop.mayStart(profile.rule(), profile.repeatability()), StopState.REFUSAL);
  }

  private boolean isTooLate(Route route) {
    return !stop.mayStart(route.name(), route.repeatability());
  }

  /** Refuses requests that are not registered yet, such as those whose body is being read. */
  public void refuseUnregistered() {
    stop.refuseUnregistered();
  }

  /** Returns the number of connections of callers with a response that is not yet complete. */
  public int unfinishedConnections() {
    return connections.unfinished();
  }

  /** Returns the number of connections to upstreams that were opened. */
  public long connectionsOpened() {
    return exchangeDependencies.connections().opened();
  }

  /** Closes idle connections to all upstreams except the given ones. */
  public void retainConnections(Set<Incarnation> known) {
    exchangeDependencies.connections().retainOnly(known);
  }

  /** Returns the number of calls that were given up before a response. */
  public long callsAbandoned() {
    return exchangeDependencies.calls().abandonedCount();
  }

  /** Returns the number of responses of upstreams that exceeded a bound. */
  public long responsesExceeding(ResponseBound bound) {
    return exchangeDependencies.calls().exceededCount(bound)
        + relayServer.responsesExceeding(bound);
  }

  /** Returns the number of responses of upstreams by the request that their identifier names. */
  public long responses(ResponseOrigin origin) {
    return exchangeDependencies.calls().responseCount(origin) + relayServer.responses(origin);
  }

  /** Returns the number of requests that were written to connections. */
  public long requestsWritten() {
    return exchangeDependencies.calls().writtenCount() + relayServer.written();
  }

  /** Returns the number of connections on which something arrived that no request waited for. */
  public long unrequestedResponses() {
    return exchangeDependencies.connections().unrequested() + relayServer.unrequested();
  }

  /** Returns the number of responses of upstreams whose head broke a rule of the grammar. */
  public long malformedResponses(HeadRule rule) {
    return exchangeDependencies.connections().malformed(rule) + relayServer.malformed(rule);
  }

  /** Returns the number of connections that were opened for calls of other daemons. */
  public long connectionsOpenedForOthers() {
    return relayServer.opened();
  }

  /** Returns the size of the large responses that are being buffered, in bytes. */
  public long responseBytesBuffered() {
    return bufferedBytes.countedBytes();
  }

  /**
   * Starts to relay calls of other daemons.
   *
   * @return the port
   */
  public Future<Integer> startRelay(String address, int port) {
    return relayServer.start(address, port);
  }

  /** Returns the number of calls of other daemons that were relayed. */
  public long callsRelayedForOthers() {
    return relayServer.accepted();
  }

  /** Returns the number of calls that were sent by a relay. */
  public long callsSentByRelay() {
    return exchangeDependencies.connections().relayed();
  }

  /** Returns the number of calls of other daemons that were closed before they were sent. */
  public long callsDroppedByRelay() {
    return relayServer.dropped();
  }

  /** Returns the number of calls of other daemons that are being relayed. */
  public int relayedCalls() {
    return relayServer.running();
  }

  /**
   * Checks whether upstreams are reached, and decides on requests that are held; called several
   * times a second.
   */
  public void tick() {
    unconfirmed.tick();
    paths.tick(exchangeDependencies.calls().silentUpstreams());
    if (!paths.isReachingAll()) {
      dependencies.relays().ask();
    }
  }

  private Optional<Relay> relay(UpstreamName upstream) {
    return paths.isReached(upstream) ? Optional.empty() : dependencies.relays().choose();
  }

  /** Returns whether no upstream is reached. */
  public boolean isCutOff() {
    return paths.isCutOff();
  }

  /** Handles a change of the upstreams. */
  public void upstreamsChanged(List<UpstreamDefinition> upstreams) {
    paths.upstreamsChanged(upstreams);
    exchangeDependencies
        .calls()
        .accepting(
            upstreams.stream()
                .filter(upstream -> !upstream.drained())
                .map(UpstreamDefinition::incarnation)
                .collect(Collectors.toSet()));
  }

  private void opened(HttpConnection connection) {
    port.accepted(connection);
    connections.opened(connection);
  }

  private void receive(HttpServerRequest request) {
    if (connections.isClosing(request.connection())) {
      // The response before it has told the caller to send it on another connection.
      return;
    }
    connections.requestAccepted(request);
    long receivedAtMillis = dependencies.clock().millis();
    request.response().exceptionHandler(ignored -> {});
    request.response().headersEndHandler(begins -> connections.responseBegins(request));
    request.response().endHandler(ended -> connections.responseEnded(request));
    CallerParameters parameters = dependencies.protocol().parametersOf(request.headers());
    guard.run(
        request, parameters.attempt(), () -> authorise(request, parameters, receivedAtMillis));
  }

  private void authorise(
      HttpServerRequest request, CallerParameters parameters, long receivedAtMillis) {
    String attempt = parameters.attempt();
    if (stop.isRefusing()) {
      reject(request, attempt, StopState.REFUSAL);
      return;
    }
    RequestAdmission.Decision decision = admission.decide(request, parameters.key());
    if (decision instanceof RequestAdmission.Refused refused) {
      reject(request, attempt, refused.refusal());
    } else if (decision instanceof RequestAdmission.Unrouted refused) {
      rejectUnrouted(request, parameters, refused.refusal(), receivedAtMillis);
    } else if (decision instanceof RequestAdmission.Admitted admitted) {
      admit(request, parameters, admitted, receivedAtMillis);
    }
  }

  private void rejectUnrouted(
      HttpServerRequest request,
      CallerParameters parameters,
      Refusal refusal,
      long receivedAtMillis) {
    String attempt = parameters.attempt();
    boolean isConfirmed = dependencies.routes().areRoutesConfirmed();
    if (!isConfirmed && unconfirmed.mayHold(dependencies.clock().millis() - receivedAtMillis)) {
      unconfirmed.hold(
          request,
          () ->
              guard.run(request, attempt, () -> authorise(request, parameters, receivedAtMillis)));
      return;
    }
    Refusal known = isConfirmed ? refusal : UnconfirmedRequests.refusal(refusal);
    unrouted.refused(attempt, known);
    reject(request, attempt, known);
  }

  private void admit(
      HttpServerRequest request,
      CallerParameters parameters,
      RequestAdmission.Admitted admitted,
      long receivedAtMillis) {
    String attempt = parameters.attempt();
    if (isTooLate(admitted.route())) {
      reject(request, attempt, StopState.REFUSAL);
      return;
    }
    if (RequestHead.declaredBodyBytes(request) > bodyMemory.freeBytes()) {
      reject(request, attempt, bodyMemory.refusal(RequestHead.declaredBodyBytes(request)));
      return;
    }
    BodyMemory.Account memory = bodyMemory.open();
    request.response().endHandler(ended -> ended(request, memory));
    request.response().closeHandler(closed -> memory.close());
    AcceptedRequest accepted =
        new AcceptedRequest(
            request,
            parameters,
            admitted.route(),
            admitted.organisation(),
            receivedAtMillis,
            memory);
    readBody(accepted, admitted.limits());
  }

  private void ended(HttpServerRequest request, BodyMemory.Account memory) {
    memory.close();
    connections.responseEnded(request);
  }

  private int urgencyOf(Route route, String service) {
    return dependencies
        .routing()
        .get()
        .map(routing -> routing.routes().urgency(route, service))
        .orElse(0);
  }

  private OptionalInt enginePriority(Route route, RequestProfile profile) {
    return profile.generation()
        ? dependencies
            .routing()
            .get()
            .map(routing -> routing.routes().enginePriority(route, profile.service()))
            .orElseGet(OptionalInt::empty)
        : OptionalInt.empty();
  }

  private void readBody(AcceptedRequest accepted, CallerLimits bounds) {
    HttpServerRequest request = accepted.request();
    long maximum = bodyMemory.maximumBodyBytes(bounds);
    Buffer body = Buffer.buffer();
    request.handler(
        bytes ->
            guard.run(request, accepted.attempt(), () -> append(accepted, body, bytes, maximum)));
    request.endHandler(
        ended -> {
          connections.requestBegins(request);
          guard.run(request, accepted.attempt(), () -> received(accepted, body));
        });
  }

  private void append(AcceptedRequest accepted, Buffer body, Buffer bytes, long maximum) {
    long length = (long) body.length() + bytes.length();
    if (length > maximum) {
      endReading(accepted, BodyMemory.tooLarge(length, maximum));
    } else if (accepted.memory().add(bytes.length())) {
      body.appendBuffer(bytes);
    } else {
      endReading(accepted, bodyMemory.refusal(length));
    }
  }

  private void endReading(AcceptedRequest accepted, Refusal refusal) {
    accepted.request().handler(ignored -> {});
    accepted.request().endHandler(ignored -> {});
    reject(accepted.request(), accepted.attempt(), refusal);
  }

  private void received(AcceptedRequest accepted, Buffer body) {
    boolean resumes =
        accepted.route().streaming() && accepted.parameters().resumeAfter().isPresent();
    if (!resumes) {
      register(accepted, body, Optional.empty());
      return;
    }
    Context context = vertx.getOrCreateContext();
    resumedStreams.find(
        accepted.parameters(),
        accepted.route(),
        accepted.organisationName(),
        task -> context.runOnContext(ignored -> task.run()),
        origin ->
            guard.run(
                accepted.request(), accepted.attempt(), () -> resume(accepted, body, origin)));
  }

  private void resume(AcceptedRequest accepted, Buffer body, Optional<StreamOrigin> origin) {
    if (origin.isEmpty()) {
      reject(accepted.request(), accepted.attempt(), ResumedStreams.refusal(accepted.parameters()));
      return;
    }
    register(accepted, body, origin);
  }

  private void register(AcceptedRequest accepted, Buffer body, Optional<StreamOrigin> origin) {
    HttpServerRequest request = accepted.request();
    if (request.response().closed()) {
      return;
    }
    if (stop.isRefusingUnregistered() || isTooLate(accepted.route())) {
      reject(request, accepted.attempt(), StopState.REFUSAL);
      return;
    }
    Optional<RequestHandle> registered =
        guard.call(request, accepted.attempt(), () -> start(accepted, body, origin));
    registered.ifPresent(
        handle ->
            request
                .response()
                .closeHandler(
                    closed -> {
                      accepted.memory().close();
                      handle.callerDisconnected();
                    }));
  }

  private RequestHandle start(
      AcceptedRequest accepted, Buffer body, Optional<StreamOrigin> origin) {
    HttpServerRequest request = accepted.request();
    Route route = accepted.route();
    ForwardedRequest forwarded = ForwardedRequest.of(accepted, body, dependencies.protocol());
    RequestProfile profile = profiles.create(forwarded, accepted, origin);
    ForwardExchange exchange =
        new ForwardExchange(
            exchangeDependencies,
            forwarded,
            profile,
            request,
            route,
            enginePriority(route, profile));
    Context context = vertx.getOrCreateContext();
    return dependencies
        .registry()
        .register(
            new NewRequest(
                profile,
                ForwardingRules.policyOf(
                    route, plainResponseTimes.overdueMillis(profile.service())),
                exchange,
                Optional.empty(),
                route.gapTargetMillis(),
                new LatencyTargets(route.targetMillis(), route.gapTargetMillis()),
                exchange,
                new HttpCallerPresence(request),
                task -> context.runOnContext(ignored -> task.run())));
  }

  /** Reports the connections to upstreams that are opened. */
  private final class ConnectResults implements ConnectListener {

    @Override
    public void connected(UpstreamDefinition target, long startedAtMillis) {
      paths.connected(target, startedAtMillis);
    }

    @Override
    public void failed(
        UpstreamDefinition target, long startedAtMillis, boolean refused, String cause) {
      paths.failed(target, startedAtMillis, cause);
      dependencies.relays().ask();
      if (refused) {
        dependencies.liveness().connectionRefused(target.name());
      } else {
        // Kept connections may be without connectivity, and would hold the next requests.
        exchangeDependencies.connections().closeIdle(target.incarnation());
      }
    }
  }

  private void recordOutputLength(RequestProfile profile, int maximumTokens, int eventCount) {
    int tokens = eventCount * dependencies.tokensPerEvent().apply(profile.service());
    dependencies.forecast().update(profile.rule(), maximumTokens, tokens);
  }

  /**
   * Refuses a request. If its body is unread, the connection is closed, since it cannot be reused.
   */
  private void reject(HttpServerRequest request, String attempt, Refusal refusal) {
    dependencies.refused().accept(refusal);
    boolean hasUnreadBody = !request.isEnded() && RequestHead.mayHaveBody(request);
    if (hasUnreadBody) {
      request.response().putHeader("connection", "close");
    }
    refusals.write(request, attempt, refusal);
  }
}
