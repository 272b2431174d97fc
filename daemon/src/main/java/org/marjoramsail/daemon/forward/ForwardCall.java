package org.marjoramsail.daemon.forward;

import io.netty.handler.codec.TooLongFrameException;
import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.internal.buffer.BufferInternal;
import java.util.Optional;
import java.util.function.Supplier;
import org.marjoramsail.core.configuration.UpstreamDefinition;
import org.marjoramsail.core.model.Incarnation;
import org.marjoramsail.core.outcome.UpstreamFailure;
import org.marjoramsail.daemon.connection.JoinedBody;
import org.marjoramsail.daemon.connection.JoinedHead;
import org.marjoramsail.daemon.connection.MalformedHeadException;
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

    /**
     * Handles some bytes of the body.
     *
     * @return the failure of the call, if these bytes make it fail
     */
    Optional<UpstreamFailure> bytes(Buffer bytes);

    /** Handles the end of a complete response. */
    void end();

    /** Handles a failure, after which nothing more is received. */
    void failed(UpstreamFailure failure);

    /** Handles the end of the call, however it ends; called before the end or the failure. */
    default void closed() {}
  }

  /** More than proper upstreams send, which is some tens. */
  private static final int MAXIMUM_HEADERS = 200;

  /** More than proper upstreams send, which is none or one. */
  private static final int MAXIMUM_INTERIM_RESPONSES = 8;

  private static final int FIRST_FINAL_STATUS = 200;

  private static final long NOT_WRITTEN = Long.MIN_VALUE;

  private final UpstreamConnections connections;
  private final CallLog calls;
  private final ForwardingProtocol protocol;
  private final UpstreamDefinition target;
  private final ForwardedRequest request;
  private final Supplier<Optional<UpstreamFailure>> obstacle;
  private final Listener listener;
  private Optional<UpstreamConnection> connection = Optional.empty();
  private String attempt = "";
  private ResponseOrigin origin = ResponseOrigin.NONE;
  private long writtenAtMillis = NOT_WRITTEN;
  private Optional<HttpClientResponse> response = Optional.empty();
  private int interimResponses;
  private boolean requestWritten;
  private final JoinedBody body = new JoinedBody();
  private boolean answered;
  private boolean closed;

  /**
   * Creates a call that is not started.
   *
   * @param obstacle returns why the request is not to be written now, if there is a reason
   */
  ForwardCall(
      UpstreamConnections connections,
      CallLog calls,
      ForwardingProtocol protocol,
      UpstreamDefinition target,
      ForwardedRequest request,
      Supplier<Optional<UpstreamFailure>> obstacle,
      Listener listener) {
    this.connections = connections;
    this.calls = calls;
    this.protocol = protocol;
    this.target = target;
    this.request = request;
    this.obstacle = obstacle;
    this.listener = listener;
  }

  /** Connects and sends the request with these headers. */
  ForwardCall start(MultiMap headers) {
    calls.started(this);
    attempt = protocol.attemptOf(headers);
    connections
        .acquire(target, attempt)
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

  @Override
  public boolean isUnsent() {
    return !isWritten();
  }

  /** Gives the call up after some time, unless it has ended by then. */
  ForwardCall closeAfter(long millis) {
    connections.later(millis, this::closeUnlessEnded);
    return this;
  }

  /** Reads no more of the body until {@link #resume}. */
  void pause() {
    response.ifPresent(HttpClientResponse::pause);
  }

  /** Reads on. */
  void resume() {
    response.ifPresent(HttpClientResponse::resume);
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
    return connection.map(UpstreamConnection::localPort).orElse(0);
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

  private void closeUnlessEnded() {
    if (!closed) {
      close();
    }
  }

  private void disconnect() {
    markEnded();
    closeConnection();
  }

  private void closeConnection() {
    connection.ifPresent(UpstreamConnection::close);
  }

  private void markEnded() {
    if (!closed) {
      closed = true;
      calls.ended(this);
      listener.closed();
    }
  }

  private void send(UpstreamConnection acquired, MultiMap headers) {
    if (closed) {
      acquired.close();
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
    clientRequest.exceptionHandler(this::responseFailed);
    clientRequest.continueHandler(interim -> interimResponse());
    clientRequest.earlyHintsHandler(hints -> interimResponse());
    // The upstream may have started to drain, or the caller left, while the connection was opened.
    Optional<UpstreamFailure> found = obstacle.get();
    if (found.isPresent()) {
      fail(found.get());
      return;
    }
    writtenAtMillis = calls.millis();
    connection.ifPresent(used -> used.begin(attempt));
    calls.written(this);
    clientRequest.response().onSuccess(this::receive).onFailure(this::responseFailed);
    (request.hasBody() ? clientRequest.end(request.body()) : clientRequest.end())
        .onSuccess(written -> requestWritten = true);
  }

  /** Guards against interim responses without end, which no timeout of a connection ends. */
  private void interimResponse() {
    interimResponses++;
    if (interimResponses > MAXIMUM_INTERIM_RESPONSES) {
      failExceeding(ResponseBound.INTERIM_RESPONSES);
    }
  }

  private void receive(HttpClientResponse received) {
    if (closed) {
      return;
    }
    response = Optional.of(received);
    if (received.statusCode() < FIRST_FINAL_STATUS) {
      fail(UpstreamFailure.MALFORMED);
      return;
    }
    if (received.headers().size() > MAXIMUM_HEADERS) {
      failExceeding(ResponseBound.HEADERS);
      return;
    }
    receiveFinal(received);
  }

  private void receiveFinal(HttpClientResponse received) {
    if (!isDirect() && received.headers().contains(Relay.NOT_SENT)) {
      connections.notSent(connection.orElseThrow(), received.statusCode());
      fail(UpstreamFailure.CONNECT_FAILED);
      return;
    }
    answered = true;
    if (isDirect()) {
      calls.answered(this);
    }
    origin = ResponseOrigin.of(attempt, protocol.attemptOf(received.headers()));
    if (!ConnectionReuse.isBound(connection.orElseThrow(), origin)
        || JoinedHead.isJoined(received.statusMessage(), received.headers())
        || ConnectionReuse.isBodyDropped(received.statusCode(), received.headers())) {
      responded(received, ConnectionFate.RESPONSE_UNBOUND);
      fail(UpstreamFailure.MALFORMED);
      return;
    }
    received.exceptionHandler(this::responseFailed);
    if (!listener.head(received.statusCode(), received.headers())) {
      disconnect();
      return;
    }
    boolean isFramed = JoinedBody.isFramed(received.headers());
    received.handler(bytes -> receiveBytes(bytes, isFramed));
    received.endHandler(ended -> end(received));
  }

  /** A response that ends with its connection has no end before another one that follows it. */
  private void receiveBytes(Buffer bytes, boolean isFramed) {
    recordReceived();
    if (closed) {
      return;
    }
    body.add(((BufferInternal) bytes).getByteBuf());
    if (body.containsStatusLine() && !isFramed) {
      fail(UpstreamFailure.MALFORMED);
      return;
    }
    listener.bytes(bytes).ifPresent(this::fail);
  }

  /**
   * Returns whether what follows the response may be the rest of another one that is in its body.
   */
  private boolean isContinued() {
    return body.isContinuedBy(connection.orElseThrow().following());
  }

  private boolean isDirect() {
    return connection.filter(UpstreamConnection::isDirect).isPresent();
  }

  private void recordReceived() {
    if (isDirect()) {
      calls.received(this);
    }
  }

  private void end(HttpClientResponse ended) {
    if (closed) {
      return;
    }
    // A reset that a write finds closes the connection without an error.
    boolean mayBeReset =
        !requestWritten && ConnectionReuse.isEndedByClose(ended.statusCode(), ended.headers());
    if (mayBeReset || isContinued()) {
      fail(UpstreamFailure.MALFORMED);
      return;
    }
    markEnded();
    UpstreamConnection finished = connection.orElseThrow();
    finished.connection().closeHandler(null);
    finished.delivered();
    Optional<Long> idleMillis = protocol.keepAliveMillis(ended.headers());
    ConnectionFate fate =
        ConnectionReuse.after(finished, origin, ended.headers(), idleMillis.isPresent());
    responded(ended, fate);
    // The next call may own the connection from here on, so that closing this one must not cut it.
    connection = Optional.empty();
    if (fate.isReused()) {
      connections.release(target.incarnation(), finished, idleMillis.orElseThrow());
    } else {
      finished.close();
    }
    listener.end();
  }

  private void responded(HttpClientResponse ended, ConnectionFate fate) {
    calls.responded(
        this,
        connection.orElseThrow(),
        ended.statusCode(),
        origin,
        protocol.isProven(ended.headers()),
        fate);
  }

  private void responseFailed(Throwable cause) {
    if (cause instanceof TooLongFrameException) {
      failExceeding(ResponseBound.HEAD_BYTES);
    } else if (cause instanceof MalformedHeadException) {
      fail(UpstreamFailure.MALFORMED);
    } else {
      fail(UpstreamFailure.CUT);
    }
  }

  private void failExceeding(ResponseBound bound) {
    if (!closed) {
      calls.exceeded(bound);
      fail(UpstreamFailure.EXCESSIVE);
    }
  }

  private void fail(UpstreamFailure failure) {
    if (closed) {
      return;
    }
    if (failure == UpstreamFailure.CUT && isDirect()) {
      calls.cut(this);
    }
    disconnect();
    listener.failed(failure);
  }
}
