package org.marjoramsail.daemon.forward;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientConnection;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.RequestOptions;
import java.util.Optional;
import org.marjoramsail.core.configuration.UpstreamDefinition;
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

  private final UpstreamConnections connections;
  private final ForwardingProtocol protocol;
  private final UpstreamDefinition target;
  private final Listener listener;
  private Optional<HttpClientConnection> connection = Optional.empty();
  private boolean closed;

  ForwardCall(
      UpstreamConnections connections,
      ForwardingProtocol protocol,
      UpstreamDefinition target,
      Listener listener) {
    this.connections = connections;
    this.protocol = protocol;
    this.target = target;
    this.listener = listener;
  }

  /** Connects and sends the request. */
  ForwardCall start(ForwardedRequest request, MultiMap headers) {
    connections
        .acquire(target)
        .onSuccess(acquired -> send(acquired, request, headers))
        .onFailure(cause -> fail(UpstreamFailure.CONNECT_FAILED));
    return this;
  }

  @Override
  public void close() {
    closed = true;
    connection.ifPresent(HttpClientConnection::close);
  }

  private void send(HttpClientConnection acquired, ForwardedRequest request, MultiMap headers) {
    if (closed) {
      acquired.close();
      return;
    }
    connection = Optional.of(acquired);
    acquired.closeHandler(ignored -> fail(UpstreamFailure.CUT));
    RequestOptions options =
        new RequestOptions()
            .setHost(target.address())
            .setPort(target.port())
            .setMethod(request.method())
            .setURI(request.uri())
            .setHeaders(headers);
    acquired
        .request(options)
        .onSuccess(clientRequest -> send(clientRequest, request))
        .onFailure(cause -> fail(UpstreamFailure.CONNECT_FAILED));
  }

  private void send(HttpClientRequest clientRequest, ForwardedRequest request) {
    if (closed) {
      connection.ifPresent(HttpClientConnection::close);
      return;
    }
    clientRequest.exceptionHandler(cause -> fail(UpstreamFailure.CUT));
    (request.hasBody() ? clientRequest.send(request.body()) : clientRequest.send())
        .onSuccess(this::receive)
        .onFailure(cause -> fail(UpstreamFailure.CUT));
  }

  private void receive(HttpClientResponse response) {
    if (closed) {
      return;
    }
    response.exceptionHandler(cause -> fail(UpstreamFailure.CUT));
    if (!listener.head(response.statusCode(), response.headers())) {
      close();
      return;
    }
    response.handler(
        bytes -> {
          if (!closed) {
            listener.bytes(bytes);
          }
        });
    response.endHandler(ended -> end(response));
  }

  private void end(HttpClientResponse response) {
    if (closed) {
      return;
    }
    closed = true;
    HttpClientConnection finished = connection.orElseThrow();
    finished.closeHandler(null);
    String connectionHeader = response.headers().get("connection");
    Optional<Long> idleMillis = protocol.keepAliveMillis(response.headers());
    boolean framed =
        response.headers().contains("content-length")
            || response.headers().contains("transfer-encoding");
    if (framed && idleMillis.isPresent() && !"close".equalsIgnoreCase(connectionHeader)) {
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
    close();
    listener.failed(failure);
  }
}
