package org.marjoramsail.daemon.upstream;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.internal.buffer.BufferInternal;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.marjoramsail.core.outcome.UpstreamFailure;
import org.marjoramsail.daemon.connection.JoinedBody;
import org.marjoramsail.daemon.connection.MalformedHeadCounts;
import org.marjoramsail.daemon.connection.RequestWatch;

/**
 * HTTP client for upstreams that classifies failures by whether a request may have run.
 *
 * <p>Requests that may run only once use new connections. Guards against the failure in which the
 * upstream closes a pooled connection just as a request is written to it: the request did not run,
 * but this would be unknown.
 */
public final class UpstreamHttp {

  private static final int OK = 200;

  private final HttpClient pooled;
  private final HttpClient unpooled;
  private final UpstreamLimits limits;
  private final MalformedHeadCounts malformed = new MalformedHeadCounts();

  /** Creates the HTTP clients, which are closed with {@code vertx}. */
  public UpstreamHttp(Vertx vertx, UpstreamLimits limits) {
    this.limits = limits;
    PoolOptions pool = new PoolOptions().setHttp1MaxSize(limits.maximumConnections());
    HttpClientOptions kept = options(limits).setKeepAlive(true);
    this.pooled = client(vertx, kept, pool);
    HttpClientOptions single = options(limits).setKeepAlive(false);
    this.unpooled = client(vertx, single, pool);
  }

  private HttpClient client(Vertx vertx, HttpClientOptions options, PoolOptions pool) {
    return RequestWatch.watchAll(vertx.httpClientBuilder().with(options).with(pool), malformed)
        .build();
  }

  private static HttpClientOptions options(UpstreamLimits limits) {
    return AbortiveClose.options()
        .setPipelining(false)
        .setTcpNoDelay(true)
        .setConnectTimeout(limits.connectTimeoutMillis());
  }

  /** Returns the number of responses whose head broke the grammar. */
  public MalformedHeadCounts malformedHeads() {
    return malformed;
  }

  UpstreamLimits limits() {
    return limits;
  }

  /**
   * Connects to an upstream; after a failure nothing was sent.
   *
   * @param newConnection whether to use a new connection instead of a pooled one
   */
  Future<HttpClientRequest> connect(
      UpstreamEndpoint endpoint, HttpMethod method, String path, boolean newConnection) {
    RequestOptions options =
        new RequestOptions()
            .setHost(endpoint.address())
            .setPort(endpoint.port())
            .setMethod(method)
            .setURI(path);
    return (newConnection ? unpooled : pooled)
        .request(options)
        .recover(
            cause ->
                Future.failedFuture(
                    new UpstreamCallException(endpoint, UpstreamFailure.CONNECT_FAILED, cause)));
  }

  /** Sends a request; after a failure the request may or may not have run. */
  Future<HttpClientResponse> send(
      UpstreamEndpoint endpoint, HttpClientRequest request, Buffer body) {
    return request
        .send(body)
        .recover(
            cause ->
                Future.failedFuture(
                    new UpstreamCallException(endpoint, UpstreamFailure.CUT, cause)));
  }

  /** Makes a short idempotent call with a timeout, and returns the body of a 200 response. */
  Future<Buffer> control(UpstreamEndpoint endpoint, HttpMethod method, String path) {
    RequestOptions options =
        new RequestOptions()
            .setHost(endpoint.address())
            .setPort(endpoint.port())
            .setMethod(method)
            .setURI(path)
            .setTimeout(limits.controlTimeoutMillis());
    return pooled
        .request(options)
        .recover(
            cause ->
                Future.failedFuture(
                    new UpstreamCallException(endpoint, UpstreamFailure.CONNECT_FAILED, cause)))
        .compose(request -> send(endpoint, request, Buffer.buffer()))
        .compose(
            response ->
                body(endpoint, response)
                    .compose(body -> requireOk(endpoint, response.statusCode(), body)));
  }

  /** Collects the body of a short call, and gives it up if it does not end in time. */
  private Future<Buffer> body(UpstreamEndpoint endpoint, HttpClientResponse response) {
    Promise<Buffer> body = Promise.promise();
    collect(
        response,
        limits.maximumResponseBytes(),
        body::tryComplete,
        failure -> body.tryFail(new UpstreamCallException(endpoint, failure, "body")));
    return body.future()
        .timeout(limits.controlTimeoutMillis(), TimeUnit.MILLISECONDS)
        .onFailure(cause -> response.request().reset())
        .recover(
            cause ->
                Future.failedFuture(
                    new UpstreamCallException(
                        endpoint, UpstreamCallException.failureOf(cause), cause)));
  }

  private static Future<Buffer> requireOk(UpstreamEndpoint endpoint, int status, Buffer body) {
    if (status == OK) {
      return Future.succeededFuture(body);
    }
    return Future.failedFuture(
        new UpstreamCallException(endpoint, UpstreamFailure.MALFORMED, "status " + status));
  }

  /**
   * Collects a body up to a maximum size; fails if the body is interrupted, joined or too long. The
   * connection is watched for joined bodies that have an end of their own.
   */
  static void collect(
      HttpClientResponse response,
      int maximumBytes,
      Consumer<Buffer> onBody,
      Consumer<UpstreamFailure> onFailure) {
    Buffer body = Buffer.buffer();
    JoinedBody joined = new JoinedBody();
    boolean isFramed = JoinedBody.isFramed(response.headers());
    response.handler(
        bytes -> {
          body.appendBuffer(bytes);
          joined.add(((BufferInternal) bytes).getByteBuf());
          if (body.length() > maximumBytes) {
            onFailure.accept(UpstreamFailure.EXCESSIVE);
            response.handler(null);
            response.request().reset();
          }
        });
    response.exceptionHandler(cause -> onFailure.accept(UpstreamFailure.CUT));
    response.endHandler(
        ended -> {
          if (!isFramed && joined.containsStatusLine()) {
            onFailure.accept(UpstreamFailure.CUT);
          } else {
            onBody.accept(body);
          }
        });
  }
}
