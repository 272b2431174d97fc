package org.marjoramsail.daemon.forward;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientConnection;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.RequestOptions;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import org.marjoramsail.core.configuration.UpstreamDefinition;
import org.marjoramsail.core.model.Incarnation;
import org.marjoramsail.core.outcome.UpstreamFailure;
import org.marjoramsail.daemon.request.OpenCall;

/**
 * One HTTP exchange with an upstream, on a connection that nothing else uses until the response is
 * complete.
 *
 * <p>Closing the call closes the connection, which tells the upstream to stop the request.
 */
final class ForwardCall implements OpenCall {

  /** Receives the response until the call is closed. */
  interface Listener {
    /**
     * Handles the head of the response.
     *
     * @return whether the body should be read
     */
    boolean head(int status, MultiMap headers);

    /** Handles some bytes of the body. */
    void bytes(Buffer bytes);

    /** Handles the end of a complete response. */
    void end();

    /** Handles a failure, after which nothing more is received. */
    void failed(UpstreamFailure failure);
  }

  private static final long NOT_WRITTEN = Long.MIN_VALUE;

  private final UpstreamConnections connections;
  private final CallLog calls;
  private final Function<MultiMap, Optional<Long>> keepAliveMillis;
  private final UpstreamDefinition target;
  private final ForwardedRequest request;
  private final BooleanSupplier accepting;
  private final Listener listener;
  private Optional<UpstreamConnection> connection = Optional.empty();
  private long writtenAtMillis = NOT_WRITTEN;
  private boolean answered;
  private boolean closed;

  /**
   * Creates a call that is not started.
   *
   * @param keepAliveMillis returns how long an upstream keeps an idle connection, from the headers
   *     of a response
   * @param accepting returns whether the upstream accepts the request now
   */
  ForwardCall(
      UpstreamConnections connections,
      CallLog calls,
      Function<MultiMap, Optional<Long>> keepAliveMillis,
      UpstreamDefinition target,
      ForwardedRequest request,
      BooleanSupplier accepting,
      Listener listener) {
    this.connections = connections;
    this.calls = calls;
    this.keepAliveMillis = keepAliveMillis;
    this.target = target;
    this.request = request;
    this.accepting = accepting;
    this.listener = listener;
  }

  /** Connects and sends the request with these headers. */
  ForwardCall start(MultiMap headers) {
    calls.started(this);
    connections
        .acquire(target)
        .onSuccess(acquired -> send(acquired, headers))
        .onFailure(cause -> fail(UpstreamFailure.CONNECT_FAILED));
    return this;
  }

  /** Gives the call up, unless it has ended. */
  @Override
  public void close() {
    if (!closed && isWritten() && !answered) {
      calls.abandoned(this);
    }
    disconnect();
  }

  /** Returns the identifier of the caller's request. */
  String request() {
    return request.parameters().attempt();
  }

  Incarnation upstream() {
    return target.incarnation();
  }

  /** Returns the local port of the connection, which identifies it in a packet capture. */
  int localPort() {
    return connection.map(open -> open.connection().localAddress().port()).orElse(0);
  }

  /** Returns whether the request was written to a connection. */
  boolean isWritten() {
    return writtenAtMillis != NOT_WRITTEN;
  }

  /** Returns when the request was written to a connection. */
  long writtenAtMillis() {
    return writtenAtMillis;
  }

  /** Returns whether the head of a response was received. */
  boolean isAnswered() {
    return answered;
  }

  /**
   * Returns whether the request was written to a direct connection before some time and no response
   * has begun.
   */
  boolean isUnansweredSince(long millis) {
    return isDirect() && isWritten() && !answered && writtenAtMillis < millis;
  }

  private void disconnect() {
    markEnded();
    closeConnection();
  }

  private void closeConnection() {
    connection.map(UpstreamConnection::connection).ifPresent(HttpClientConnection::close);
  }

  private void markEnded() {
    closed = true;
    calls.ended(this);
  }

  private void send(UpstreamConnection acquired, MultiMap headers) {
    if (closed) {
      acquired.connection().close();
      return;
    }
    connection = Optional.of(acquired);
    acquired.connection().closeHandler(ignored -> fail(UpstreamFailure.CUT));
    acquired.relay().ifPresent(relay -> relay.addParameters(headers, target));
    RequestOptions options =
        new RequestOptions()
            .setHost(target.address())
            .setPort(target.port())
            .setMethod(request.method())
            .setURI(request.uri())
            .setHeaders(headers);
    acquired
        .connection()
        .request(options)
        .onSuccess(this::send)
        .onFailure(cause -> fail(UpstreamFailure.CONNECT_FAILED));
  }

  private void send(HttpClientRequest clientRequest) {
    if (closed) {
      closeConnection();
      return;
    }
    clientRequest.exceptionHandler(cause -> fail(UpstreamFailure.CUT));
    // The upstream may have started to drain while the connection was opened.
    if (!accepting.getAsBoolean()) {
      fail(UpstreamFailure.NOT_ACCEPTING);
      return;
    }
    writtenAtMillis = calls.millis();
    (request.hasBody() ? clientRequest.send(request.body()) : clientRequest.send())
        .onSuccess(this::receive)
        .onFailure(cause -> fail(UpstreamFailure.CUT));
  }

  private void receive(HttpClientResponse response) {
    if (closed) {
      return;
    }
    if (!isDirect() && response.headers().contains(Relay.NOT_SENT)) {
      connections.notSent(connection.orElseThrow(), response.statusCode());
      fail(UpstreamFailure.CONNECT_FAILED);
      return;
    }
    answered = true;
    if (isDirect()) {
      calls.answered(this);
    }
    response.exceptionHandler(cause -> fail(UpstreamFailure.CUT));
    if (!listener.head(response.statusCode(), response.headers())) {
      disconnect();
      return;
    }
    response.handler(
        bytes -> {
          received();
          if (!closed) {
            listener.bytes(bytes);
          }
        });
    response.endHandler(ended -> end(response));
  }

  private boolean isDirect() {
    return connection.filter(UpstreamConnection::isDirect).isPresent();
  }

  private void received() {
    if (isDirect()) {
      calls.received(this);
    }
  }

  private void end(HttpClientResponse response) {
    if (closed) {
      return;
    }
    markEnded();
    HttpClientConnection finished = connection.orElseThrow().connection();
    finished.closeHandler(null);
    String connectionHeader = response.headers().get("connection");
    Optional<Long> idleMillis = keepAliveMillis.apply(response.headers());
    boolean framed =
        response.headers().contains("content-length")
            || response.headers().contains("transfer-encoding");
    if (isDirect()
        && framed
        && idleMillis.isPresent()
        && !"close".equalsIgnoreCase(connectionHeader)) {
      connections.release(target.incarnation(), finished, idleMillis.get());
    } else {
      finished.close();
    }
    listener.end();
  }

  private void fail(UpstreamFailure failure) {
    if (closed) {
      return;
    }
    disconnect();
    listener.failed(failure);
  }
}
