package org.marjoramsail.daemon.upstream;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import java.io.IOException;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import org.marjoramsail.core.model.DaemonId;
import org.marjoramsail.core.model.RequestId;
import org.marjoramsail.core.outcome.UpstreamFailure;
import org.marjoramsail.daemon.request.CallerPresence;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Calls model engines.
 *
 * <p>Failed futures carry an {@link UpstreamCallException}. Handlers run on the Vert.x context of
 * the call.
 */
public final class EngineClient {

  private static final int OK = 200;
  private static final String ATTEMPTS = "/v1/attempts";

  private final UpstreamHttp http;
  private static final Logger LOG = LoggerFactory.getLogger(EngineClient.class);

  private final ObjectMapper json;
  private final Counter unserializableRequests;
  private final AtomicBoolean unserializableLogged = new AtomicBoolean();

  /**
   * Creates a client.
   *
   * @param http sends the HTTP requests
   * @param json a mapper that supports {@code Optional}
   * @param meters counts requests that cannot be serialized
   */
  public EngineClient(UpstreamHttp http, ObjectMapper json, MeterRegistry meters) {
    this.http = http;
    this.json = json;
    this.unserializableRequests = meters.counter("marjoramsail.upstream.orders.unwritable");
  }

  /**
   * Sends a prefill request to an engine.
   *
   * @param caller the caller of the request
   * @param onResponse called with the response, at most once
   * @param onFailure called with the failure, at most once and not after a response
   */
  public UpstreamCall prefill(
      UpstreamEndpoint endpoint,
      PrefillRequest request,
      CallerPresence caller,
      Consumer<PrefillResponse> onResponse,
      Consumer<UpstreamFailure> onFailure) {
    UpstreamCall call = new UpstreamCall(caller);
    Consumer<UpstreamFailure> onFailureOnce = once(call, onFailure);
    post(endpoint, "/v1/prefill", request, false, call, onFailureOnce)
        .onSuccess(
            response ->
                UpstreamHttp.collect(
                    response,
                    http.limits().maximumResponseBytes(),
                    body -> handlePrefillResponse(response, body, call, onResponse, onFailureOnce),
                    onFailureOnce));
    return call;
  }

  private void handlePrefillResponse(
      HttpClientResponse response,
      Buffer body,
      UpstreamCall call,
      Consumer<PrefillResponse> onResponse,
      Consumer<UpstreamFailure> onFailure) {
    if (response.statusCode() != OK) {
      onFailure.accept(RefusalBody.failure(json, response.statusCode(), body));
      return;
    }
    PrefillResponse prefillResponse;
    try {
      prefillResponse = json.readValue(body.getBytes(), PrefillResponse.class);
    } catch (IOException malformed) {
      onFailure.accept(UpstreamFailure.MALFORMED);
      return;
    }
    if (call.finish()) {
      onResponse.accept(prefillResponse);
    }
  }

  /**
   * Sends a decode request to an engine, which streams its output.
   *
   * @param caller the caller of the request
   * @param newConnection whether to use a new connection, as for a request that may run only once
   * @param listener receives the stream
   */
  public UpstreamCall decode(
      UpstreamEndpoint endpoint,
      DecodeRequest request,
      CallerPresence caller,
      boolean newConnection,
      DecodeListener listener) {
    UpstreamCall call = new UpstreamCall(caller);
    Consumer<UpstreamFailure> onFailure = once(call, listener::failed);
    post(endpoint, "/v1/decode", request, newConnection, call, onFailure)
        .onSuccess(response -> handleDecodeResponse(response, call, listener, onFailure));
    return call;
  }

  private void handleDecodeResponse(
      HttpClientResponse response,
      UpstreamCall call,
      DecodeListener listener,
      Consumer<UpstreamFailure> onFailure) {
    if (response.statusCode() != OK) {
      UpstreamHttp.collect(
          response,
          http.limits().maximumResponseBytes(),
          body -> onFailure.accept(RefusalBody.failure(json, response.statusCode(), body)),
          onFailure);
      return;
    }
    LineParser parser =
        new LineParser(
            http.limits().maximumLineBytes(), line -> handleFrame(line, call, listener, onFailure));
    response.handler(
        bytes -> {
          if (!parser.feed(bytes)) {
            onFailure.accept(UpstreamFailure.EXCESSIVE);
            response.handler(null);
            response.request().reset();
          }
        });
    response.exceptionHandler(cause -> onFailure.accept(UpstreamFailure.CUT));
    response.endHandler(ended -> onFailure.accept(UpstreamFailure.CUT));
  }

  private void handleFrame(
      Buffer line,
      UpstreamCall call,
      DecodeListener listener,
      Consumer<UpstreamFailure> onFailure) {
    if (call.isFinished()) {
      return;
    }
    DecodeFrame frame;
    try {
      frame = json.readValue(line.getBytes(), DecodeFrame.class);
    } catch (IOException malformed) {
      onFailure.accept(UpstreamFailure.MALFORMED);
      return;
    }
    if (!frame.isComplete()) {
      onFailure.accept(UpstreamFailure.MALFORMED);
      return;
    }
    if (frame.done()) {
      call.finish();
    }
    listener.frame(frame);
  }

  /** Cancels an attempt; on success the engine holds nothing of it. */
  public Future<Void> cancel(UpstreamEndpoint endpoint, RequestId request, int attempt) {
    String path = ATTEMPTS + "/" + encode(request.value()) + "/" + attempt;
    return http.control(endpoint, HttpMethod.DELETE, path).mapEmpty();
  }

  /** Returns all attempts that an engine holds. */
  public Future<AttemptList> attempts(UpstreamEndpoint endpoint) {
    return read(endpoint, ATTEMPTS, AttemptList.class);
  }

  /** Returns the attempts that an engine holds for one incarnation of a daemon. */
  public Future<AttemptList> attempts(UpstreamEndpoint endpoint, DaemonId daemon) {
    String path =
        ATTEMPTS + "?daemon=" + encode(daemon.host()) + "&incarnation=" + daemon.incarnation();
    return read(endpoint, path, AttemptList.class);
  }

  /**
   * Cancels the attempts of this and earlier incarnations of a daemon, and returns their number.
   */
  public Future<Integer> cancelAll(UpstreamEndpoint endpoint, DaemonId latest) {
    String path =
        ATTEMPTS
            + "?daemon="
            + encode(latest.host())
            + "&throughIncarnation="
            + latest.incarnation();
    return http.control(endpoint, HttpMethod.DELETE, path)
        .compose(body -> parse(endpoint, body, CancelledCount.class))
        .map(CancelledCount::cancelled);
  }

  /** Returns the status of an engine. */
  public Future<UpstreamStatus> status(UpstreamEndpoint endpoint) {
    return read(endpoint, "/v1/status", UpstreamStatus.class);
  }

  /** Returns the changes of the prefix cache of an engine after a sequence number. */
  public Future<CacheEventList> cacheEvents(UpstreamEndpoint endpoint, long after) {
    return read(endpoint, "/v1/cache-events?after=" + after, CacheEventList.class);
  }

  private <T> Future<T> read(UpstreamEndpoint endpoint, String path, Class<T> type) {
    return http.control(endpoint, HttpMethod.GET, path)
        .compose(body -> parse(endpoint, body, type));
  }

  private <T> Future<T> parse(UpstreamEndpoint endpoint, Buffer body, Class<T> type) {
    try {
      return Future.succeededFuture(json.readValue(body.getBytes(), type));
    } catch (IOException malformed) {
      return Future.failedFuture(
          new UpstreamCallException(endpoint, UpstreamFailure.MALFORMED, malformed));
    }
  }

  private Future<HttpClientResponse> post(
      UpstreamEndpoint endpoint,
      String path,
      Object payload,
      boolean newConnection,
      UpstreamCall call,
      Consumer<UpstreamFailure> onFailure) {
    Buffer body;
    try {
      body = Buffer.buffer(json.writeValueAsBytes(payload));
    } catch (JsonProcessingException exception) {
      recordUnserializable(endpoint, exception);
      onFailure.accept(UpstreamFailure.CONNECT_FAILED);
      return Promise.<HttpClientResponse>promise().future();
    }
    return http.connect(endpoint, HttpMethod.POST, path, newConnection)
        .compose(request -> call.attach(endpoint, request))
        .compose(
            request -> {
              request.putHeader("content-type", "application/json");
              return http.send(endpoint, request, body);
            })
        .onFailure(cause -> onFailure.accept(UpstreamCallException.failureOf(cause)));
  }

  /**
   * Guards against the failure in which a serialization fault of this daemon looks like unreachable
   * upstreams: the request fails as if not connected, so only this log entry and counter show it.
   */
  private void recordUnserializable(UpstreamEndpoint endpoint, JsonProcessingException cause) {
    unserializableRequests.increment();
    if (unserializableLogged.compareAndSet(false, true)) {
      LOG.atError()
          .addKeyValue("upstream", endpoint.name())
          .setCause(cause)
          .log("a request cannot be serialized as JSON; further failures are only counted");
    }
  }

  private static Consumer<UpstreamFailure> once(
      UpstreamCall call, Consumer<UpstreamFailure> onFailure) {
    return failure -> {
      if (call.finish()) {
        onFailure.accept(failure);
      }
    };
  }

  private static String encode(String value) {
    return URLEncoder.encode(value, StandardCharsets.UTF_8);
  }
}
