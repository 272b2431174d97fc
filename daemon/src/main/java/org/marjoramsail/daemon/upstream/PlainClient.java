package org.marjoramsail.daemon.upstream;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.vertx.core.Future;
import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import java.io.IOException;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.marjoramsail.core.failure.RunState;
import org.marjoramsail.core.outcome.UpstreamFailure;
import org.marjoramsail.daemon.request.CallerPresence;

/** Calls plain services. Handlers run on the Vert.x context of the call. */
public final class PlainClient {

  /** Headers that apply to one connection only and are not forwarded. */
  private static final Set<String> HOP_BY_HOP =
      Set.of(
          "connection",
          "keep-alive",
          "proxy-authenticate",
          "proxy-authorization",
          "proxy-connection",
          "te",
          "trailer",
          "transfer-encoding",
          "upgrade",
          "content-length",
          "host",
          "expect");

  private static final String RUN_HEADER = "marjoramsail-run";
  private static final int UNAVAILABLE = 503;

  private final UpstreamHttp http;
  private final ObjectMapper json;

  /** Creates a client. */
  public PlainClient(UpstreamHttp http, ObjectMapper json) {
    this.http = http;
    this.json = json;
  }

  /**
   * Sends a request.
   *
   * @param caller the caller of the request
   * @param newConnection whether to use a new connection, as for a request that may run only once
   * @param onResponse called with the complete response, at most once
   * @param onFailure called with the failure, at most once and not after a response
   */
  public UpstreamCall send(
      UpstreamEndpoint endpoint,
      PlainRequest request,
      CallerPresence caller,
      boolean newConnection,
      Consumer<PlainResponse> onResponse,
      Consumer<UpstreamFailure> onFailure) {
    UpstreamCall call = new UpstreamCall(caller);
    Consumer<UpstreamFailure> onFailureOnce =
        failure -> {
          if (call.finish()) {
            onFailure.accept(failure);
          }
        };
    http.connect(endpoint, HttpMethod.valueOf(request.method()), request.path(), newConnection)
        .compose(httpRequest -> call.attach(endpoint, httpRequest))
        .compose(
            httpRequest -> {
              copyEndToEnd(request.headers(), httpRequest.headers());
              httpRequest.putHeader("marjoramsail-request", request.request().value());
              httpRequest.putHeader("marjoramsail-attempt", Integer.toString(request.attempt()));
              return http.send(endpoint, httpRequest, request.body());
            })
        .onFailure(cause -> onFailureOnce.accept(UpstreamCallException.failureOf(cause)))
        .onSuccess(
            response ->
                UpstreamHttp.collect(
                    response,
                    http.limits().maximumResponseBytes(),
                    body -> handleResponse(response, body, call, onResponse, onFailureOnce),
                    onFailureOnce));
    return call;
  }

  /** Returns the status of a plain service. */
  public Future<UpstreamStatus> status(UpstreamEndpoint endpoint) {
    return http.control(endpoint, HttpMethod.GET, "/-/status")
        .compose(
            body -> {
              try {
                return Future.succeededFuture(
                    json.readValue(body.getBytes(), UpstreamStatus.class));
              } catch (IOException malformed) {
                return Future.failedFuture(
                    new UpstreamCallException(endpoint, UpstreamFailure.MALFORMED, malformed));
              }
            });
  }

  private static void handleResponse(
      HttpClientResponse response,
      Buffer body,
      UpstreamCall call,
      Consumer<PlainResponse> onResponse,
      Consumer<UpstreamFailure> onFailure) {
    boolean notRun =
        response.statusCode() == UNAVAILABLE
            && RunState.NOT_RUN.code().equals(response.getHeader(RUN_HEADER));
    if (notRun) {
      onFailure.accept(UpstreamFailure.REFUSED);
      return;
    }
    if (call.finish()) {
      MultiMap headers = MultiMap.caseInsensitiveMultiMap();
      copyEndToEnd(response.headers(), headers);
      onResponse.accept(new PlainResponse(response.statusCode(), headers, body));
    }
  }

  private static void copyEndToEnd(MultiMap from, MultiMap to) {
    for (Map.Entry<String, String> header : from) {
      if (!HOP_BY_HOP.contains(header.getKey().toLowerCase(Locale.ROOT))) {
        to.add(header.getKey(), header.getValue());
      }
    }
  }
}
