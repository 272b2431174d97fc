package org.marjoramsail.daemon.forward;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.MultiMap;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import org.marjoramsail.core.configuration.UpstreamDefinition;
import org.marjoramsail.core.model.UpstreamName;
import org.marjoramsail.core.outcome.UpstreamFailure;
import org.marjoramsail.daemon.connection.ConnectionProbe;
import org.marjoramsail.daemon.connection.HeadRule;
import org.marjoramsail.daemon.connection.ListeningPort;
import org.marjoramsail.daemon.connection.OrderlyClose;
import org.marjoramsail.daemon.connection.ServerOptions;

/**
 * HTTP server that relays calls of other daemons, which reach no upstream, to upstreams.
 *
 * <p>The daemon that sends a call remains responsible for it: it has selected the upstream, counts
 * the attempt and decides about retries. A relay sends a call to that upstream once, or responds
 * that it did not; it never passes a call to a further relay. If the call fails after it was sent,
 * the connection of the sender is reset, as that to the upstream was. Runs on one event loop.
 */
final class RelayServer {

  /** Maximum number of calls that are relayed at the same time. */
  private static final int MAXIMUM_CALLS = 500;

  private static final int NOT_SENT_STATUS = 503;
  private static final int MAXIMUM_HEAD_BYTES = 64 * 1024;

  /** Statuses of responses without a body. */
  private static final Set<Integer> BODILESS = Set.of(204, 205, 304);

  private final Vertx vertx;
  private final byte[] token;
  private final ForwardingProtocol protocol;
  private final Function<UpstreamName, Optional<UpstreamDefinition>> upstreams;
  private final UpstreamConnections connections;
  private final CallLog calls;
  private final BooleanSupplier available;
  private final RelayTimeouts timeouts;
  private final UnusedConnections unusedConnections;
  private final ListeningPort port;
  private Optional<HttpServer> server = Optional.empty();
  private int running;
  private long accepted;
  private long dropped;

  /**
   * Creates a server that does not listen yet.
   *
   * @param token what senders have to present
   * @param connections pool of direct connections
   * @param calls tracks the relayed calls
   * @param available returns whether this daemon reaches upstreams and accepts calls
   */
  RelayServer(
      Vertx vertx,
      String token,
      ForwardingProtocol protocol,
      Function<UpstreamName, Optional<UpstreamDefinition>> upstreams,
      UpstreamConnections connections,
      CallLog calls,
      BooleanSupplier available) {
    this(
        vertx, token, protocol, upstreams, connections, calls, available, RelayTimeouts.defaults());
  }

  /**
   * Creates a server with timeouts of its own.
   *
   * @param timeouts times after which senders are given up
   */
  RelayServer(
      Vertx vertx,
      String token,
      ForwardingProtocol protocol,
      Function<UpstreamName, Optional<UpstreamDefinition>> upstreams,
      UpstreamConnections connections,
      CallLog calls,
      BooleanSupplier available,
      RelayTimeouts timeouts) {
    this.vertx = vertx;
    this.port = new ListeningPort(vertx);
    this.token = token.getBytes(StandardCharsets.UTF_8);
    this.protocol = protocol;
    this.upstreams = upstreams;
    this.connections = connections;
    this.calls = calls;
    this.available = available;
    this.timeouts = timeouts;
    this.unusedConnections = new UnusedConnections(vertx, timeouts.unusedMillis());
  }

  /** Starts to listen; completes with the port. */
  Future<Integer> start(String address, int portNumber) {
    HttpServerOptions options =
        ServerOptions.http1()
            .setHost(address)
            .setPort(portNumber)
            .setTcpNoDelay(true)
            .setTcpKeepAlive(true)
            .setMaxHeaderSize(MAXIMUM_HEAD_BYTES)
            .setMaxInitialLineLength(MAXIMUM_HEAD_BYTES);
    HttpServer created =
        vertx
            .createHttpServer(options)
            .connectionHandler(this::opened)
            .requestHandler(this::receive);
    server = Optional.of(created);
    return created.listen().map(HttpServer::actualPort);
  }

  private void opened(HttpConnection connection) {
    port.accepted(connection);
    unusedConnections.opened(connection);
  }

  /** Accepts no further connections; calls on those that are open are relayed. */
  Future<Void> closePort() {
    return port.close();
  }

  /** Closes each connection once its call has ended, or when the time has passed. */
  void shutdown(long withinMillis) {
    server.ifPresent(
        listening -> {
          Future<Void> unused = listening.shutdown(withinMillis, TimeUnit.MILLISECONDS);
        });
  }

  /** Returns the number of calls that are being relayed. */
  int running() {
    return running;
  }

  /** Returns the number of calls that were accepted. */
  long accepted() {
    return accepted;
  }

  /** Returns the number of calls that were not sent since their sender had closed them. */
  long dropped() {
    return dropped;
  }

  /** Returns the number of responses of upstreams that exceeded a bound. */
  long responsesExceeding(ResponseBound bound) {
    return calls.exceededCount(bound);
  }

  /** Returns the number of responses of upstreams by origin. */
  long responses(ResponseOrigin origin) {
    return calls.responseCount(origin);
  }

  /** Returns the number of requests that were written. */
  long written() {
    return calls.writtenCount();
  }

  /** Returns the number of connections that were opened. */
  long opened() {
    return connections.opened();
  }

  /** Returns the number of responses whose head broke a rule of the grammar. */
  long malformed(HeadRule rule) {
    return connections.malformed(rule);
  }

  /** Returns the number of connections on which something arrived that no request waited for. */
  long unrequested() {
    return connections.unrequested();
  }

  private void receive(HttpServerRequest request) {
    request.response().exceptionHandler(reset -> {});
    String presented = request.getHeader(Relay.TOKEN);
    if (presented == null
        || !MessageDigest.isEqual(token, presented.getBytes(StandardCharsets.UTF_8))) {
      refuse(request, Relay.FORBIDDEN_STATUS);
      return;
    }
    Optional<UpstreamDefinition> target =
        Optional.ofNullable(request.getHeader(Relay.UPSTREAM))
            .filter(name -> !name.isEmpty())
            .flatMap(name -> upstreams.apply(new UpstreamName(name)))
            .filter(found -> available.getAsBoolean() && running < MAXIMUM_CALLS);
    if (target.isEmpty()) {
      refuse(request, NOT_SENT_STATUS);
      return;
    }
    running++;
    accepted++;
    unusedConnections.callBegins(request.connection());
    Context context = vertx.getOrCreateContext();
    CallerParameters parameters = protocol.parametersOf(request.headers());
    RelayDeadline deadline = new RelayDeadline(vertx, request, timeouts.callMillis(parameters));
    SenderTimeout timeout = new SenderTimeout(vertx, request, timeouts.senderMillis());
    timeout.start();
    // The sender's connection is probed, which a handler of what it sends must not do.
    request
        .body()
        .onComplete(ended -> timeout.cancel())
        .onSuccess(
            body ->
                context.runOnContext(
                    read ->
                        relay(
                            request,
                            body,
                            target.get(),
                            new RelayedCall(request, timeout, deadline))))
        .onFailure(
            broken -> {
              deadline.cancel();
              running--;
            });
  }

  private void relay(
      HttpServerRequest request, Buffer body, UpstreamDefinition target, RelayedCall listener) {
    MultiMap received = request.headers();
    boolean hasBody = received.contains("content-length") || received.contains("transfer-encoding");
    MultiMap headers = Relay.passedOn(received);
    ForwardedRequest relayed =
        new ForwardedRequest(
            request.method(),
            RequestTarget.of(request),
            "",
            headers,
            body,
            hasBody,
            protocol.parametersOf(headers),
            Optional.empty());
    ForwardCall call =
        new ForwardCall(
            connections,
            calls,
            protocol,
            target,
            relayed,
            () -> obstacle(request, target),
            listener);
    listener.relays(call);
    request
        .response()
        .closeHandler(
            closed -> {
              listener.senderLeft();
              call.close();
            });
    ForwardCall unused = call.start(headers);
  }

  private Optional<UpstreamFailure> obstacle(HttpServerRequest request, UpstreamDefinition target) {
    if (upstreams.apply(target.name()).isEmpty()) {
      return Optional.of(UpstreamFailure.NOT_ACCEPTING);
    }
    if (ConnectionProbe.isOpen(request.connection())) {
      return Optional.empty();
    }
    dropped++;
    return Optional.of(UpstreamFailure.CALLER_LEFT);
  }

  /** Refuses a call, of which the rest is not read. */
  private void refuse(HttpServerRequest request, int status) {
    request
        .response()
        .setStatusCode(status)
        .putHeader(Relay.NOT_SENT, "1")
        .putHeader("connection", "close")
        .end()
        .onComplete(written -> OrderlyClose.close(vertx, request.connection()));
  }

  /** Passes the response of an upstream to the sender of the call. */
  private final class RelayedCall implements ForwardCall.Listener {
    private final HttpServerRequest request;
    private final HttpServerResponse response;
    private final SenderTimeout timeout;
    private final RelayDeadline deadline;
    private Optional<ForwardCall> call = Optional.empty();
    private boolean ended;

    RelayedCall(HttpServerRequest request, SenderTimeout timeout, RelayDeadline deadline) {
      this.request = request;
      this.response = request.response();
      this.timeout = timeout;
      this.deadline = deadline;
    }

    void relays(ForwardCall started) {
      call = Optional.of(started);
    }

    void senderLeft() {
      timeout.cancel();
      ended();
    }

    private void ended() {
      if (!ended) {
        ended = true;
        deadline.cancel();
        running--;
      }
    }

    @Override
    public boolean head(int status, MultiMap headers) {
      if (response.closed()) {
        return false;
      }
      response.setStatusCode(status);
      response.headers().addAll(Relay.passedOn(headers));
      if (hasBody(status)) {
        // A failure that is found at the end of the body has to reach the sender as such.
        response.setChunked(true);
      } else {
        copyLength(headers);
      }
      return true;
    }

    private boolean hasBody(int status) {
      return !HttpMethod.HEAD.equals(request.method()) && !BODILESS.contains(status);
    }

    private void copyLength(MultiMap headers) {
      String length = headers.get("content-length");
      if (length != null) {
        response.putHeader("content-length", length);
      }
    }

    /** Guards against an upstream that sends faster than the sender of the call reads. */
    @Override
    public Optional<UpstreamFailure> bytes(Buffer bytes) {
      Future<Void> unused = response.write(bytes);
      if (response.writeQueueFull()) {
        call.ifPresent(ForwardCall::pause);
        timeout.start();
        response.drainHandler(drained -> resume());
      }
      return Optional.empty();
    }

    private void resume() {
      timeout.cancel();
      call.ifPresent(ForwardCall::resume);
    }

    @Override
    public void end() {
      // A drain would end the wait for the sender, which lasts until all is written from here on.
      response.drainHandler(null);
      timeout.start();
      response
          .end()
          .onComplete(
              written -> {
                timeout.cancel();
                ended();
                unusedConnections.callEnded(request.connection());
              });
    }

    @Override
    public void failed(UpstreamFailure failure) {
      ended();
      if (response.closed()) {
        return;
      }
      if (failure.isNeverSent()) {
        refuse(request, NOT_SENT_STATUS);
      } else {
        // The library closes the connection once the sender has read what was written before.
        timeout.start();
        request.connection().close();
      }
    }
  }
}
