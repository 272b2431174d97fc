package org.marjoramsail.daemon.platform;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.micrometer.core.instrument.MeterRegistry;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import java.io.IOException;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.marjoramsail.daemon.connection.MalformedHeadCounts;
import org.marjoramsail.daemon.connection.RequestWatch;
import org.marjoramsail.daemon.platform.ObjectApiException.Failure;
import org.marjoramsail.daemon.upstream.AbortiveClose;

/**
 * The object API over HTTP.
 *
 * <p>A write fails as uncertain exactly when it was handed to a connection and no answer that
 * settles it came back; a call that got no connection is unavailable, which proves that it had no
 * effect.
 */
public final class HttpObjectApi implements ObjectApi, AutoCloseable {

  private static final String BASE_PATH = "/apis/marjoramsail.org/v1/";
  private static final int MAXIMUM_WATCHES = 16;
  private static final int MAXIMUM_CALLS_WAITING = 4_096;

  private final Vertx vertx;
  private final HttpObjectApiSettings settings;
  private final MeterRegistry meters;
  private final MalformedHeadCounts malformed = new MalformedHeadCounts();
  private final HttpClient client;
  private final HttpClient watchClient;
  private final ObjectJson json = new ObjectJson();

  /** Creates an instance with all that it needs; connections are opened when calls come. */
  public HttpObjectApi(Vertx vertx, HttpObjectApiSettings settings, MeterRegistry meters) {
    this.vertx = vertx;
    this.settings = settings;
    this.meters = meters;
    malformed.registerWith(meters, "object-api");
    this.client = client(settings.connections());
    this.watchClient = client(MAXIMUM_WATCHES);
  }

  private HttpClient client(int connections) {
    HttpClientOptions options =
        AbortiveClose.options()
            .setDefaultHost(settings.address())
            .setDefaultPort(settings.port())
            .setConnectTimeout(settings.connectTimeoutMillis())
            .setTcpNoDelay(true);
    PoolOptions pool =
        new PoolOptions().setHttp1MaxSize(connections).setMaxWaitQueueSize(MAXIMUM_CALLS_WAITING);
    return RequestWatch.watchAll(vertx.httpClientBuilder().with(options).with(pool), malformed)
        .build();
  }

  @Override
  public Future<StoredObject> get(String kind, String name) {
    ObjectApiCall call = new ObjectApiCall(ObjectApiVerb.GET, kind, name);
    return send(call, Optional.empty()).compose(body -> read(call, body, this::storedObject));
  }

  @Override
  public Future<ObjectList> list(String kind) {
    ObjectApiCall call = new ObjectApiCall(ObjectApiVerb.LIST, kind, "");
    return send(call, Optional.empty())
        .compose(body -> read(call, body, (of, answer) -> json.list(of.kind(), answer)));
  }

  @Override
  public Future<StoredObject> create(String kind, String name, ObjectNode spec) {
    ObjectApiCall call = new ObjectApiCall(ObjectApiVerb.CREATE, kind, name);
    ObjectNode object = json.write(kind, name, Optional.empty(), spec);
    return send(call, Optional.of(object)).compose(body -> read(call, body, this::storedObject));
  }

  @Override
  public Future<StoredObject> replace(StoredObject object) {
    ObjectApiCall call = new ObjectApiCall(ObjectApiVerb.REPLACE, object.kind(), object.name());
    return send(call, Optional.of(write(object)))
        .compose(body -> read(call, body, this::storedObject));
  }

  @Override
  public Future<Void> delete(StoredObject object) {
    ObjectApiCall call = new ObjectApiCall(ObjectApiVerb.DELETE, object.kind(), object.name());
    return send(call, Optional.of(write(object))).mapEmpty();
  }

  @Override
  public Watch watch(String kind, String resourceVersion, WatchListener listener) {
    String path =
        path(kind, "")
            + "?watch=true&allowWatchBookmarks=true&timeoutSeconds="
            + settings.watchSeconds()
            + "&resourceVersion="
            + URLEncoder.encode(resourceVersion, StandardCharsets.UTF_8);
    ObjectApiCall call = new ObjectApiCall(ObjectApiVerb.WATCH, kind, "");
    HttpWatch watch = new HttpWatch(vertx, call, json, listener, failure -> count(call, failure));
    long openMillis =
        TimeUnit.SECONDS.toMillis(settings.watchSeconds()) + settings.answerTimeoutMillis();
    watch.open(watchClient.request(options(call, path)), openMillis);
    return watch;
  }

  /** Closes all connections; calls under way fail. */
  @Override
  public void close() {
    client.close();
    watchClient.close();
  }

  private ObjectNode write(StoredObject object) {
    Optional<String> version =
        Optional.of(object.resourceVersion()).filter(text -> !text.isEmpty());
    return json.write(object.kind(), object.name(), version, object.spec());
  }

  private Future<Buffer> send(ObjectApiCall call, Optional<ObjectNode> body) {
    String name = call.verb() == ObjectApiVerb.CREATE ? "" : call.name();
    return client
        .request(options(call, path(call.kind(), name)))
        .recover(failure -> Future.failedFuture(notConnected(call, failure)))
        .compose(request -> exchange(call, request, body))
        .onSuccess(unused -> count(call, Optional.empty()))
        .onFailure(failure -> count(call, failureOf(failure)));
  }

  private RequestOptions options(ObjectApiCall call, String path) {
    return new RequestOptions()
        .setMethod(call.verb().method())
        .setURI(path)
        .setConnectTimeout(settings.connectTimeoutMillis());
  }

  private Future<Buffer> exchange(
      ObjectApiCall call, HttpClientRequest request, Optional<ObjectNode> body) {
    Future<HttpClientResponse> sent =
        body.map(
                object ->
                    request
                        .putHeader("content-type", "application/json")
                        .send(Buffer.buffer(object.toString())))
            .orElseGet(request::send);
    return sent.compose(response -> response.body().map(buffer -> new Answer(response, buffer)))
        .timeout(settings.answerTimeoutMillis(), TimeUnit.MILLISECONDS)
        .onFailure(unused -> request.reset())
        .recover(failure -> Future.failedFuture(answerLost(call, failure)))
        .compose(answer -> answer.settle(call));
  }

  private static ObjectApiException notConnected(ObjectApiCall call, Throwable failure) {
    return call.failed(Failure.UNAVAILABLE, "no connection: " + failure.getMessage(), failure);
  }

  private static ObjectApiException answerLost(ObjectApiCall call, Throwable failure) {
    return call.failed(call.verb().lostAnswer(), "no answer: " + failure.getMessage(), failure);
  }

  private StoredObject storedObject(ObjectApiCall call, ObjectNode answer) throws IOException {
    return json.object(call.kind(), answer);
  }

  /** Reads the answer to a call. */
  private interface Reader<T> {
    T read(ObjectApiCall call, ObjectNode answer) throws IOException;
  }

  private <T> Future<T> read(ObjectApiCall call, Buffer body, Reader<T> reader) {
    try {
      return Future.succeededFuture(reader.read(call, json.parse(body.getBytes())));
    } catch (IOException failure) {
      return Future.failedFuture(
          call.failed(call.verb().lostAnswer(), "unreadable answer", failure));
    }
  }

  /** A whole answer. */
  private record Answer(HttpClientResponse response, Buffer body) {
    Future<Buffer> settle(ObjectApiCall call) {
      int status = response.statusCode();
      if (status >= 200 && status < 300) {
        return Future.succeededFuture(body);
      }
      return Future.failedFuture(
          call.refused(status, body.toString(), response.getHeader("retry-after")));
    }
  }

  private static Optional<Failure> failureOf(Throwable failure) {
    return failure instanceof ObjectApiException typed
        ? Optional.of(typed.failure())
        : Optional.of(Failure.UNAVAILABLE);
  }

  private void count(ObjectApiCall call, Optional<Failure> failure) {
    String result = failure.map(Failure::name).orElse("ok").toLowerCase(Locale.ROOT);
    meters
        .counter(
            "marjoramsail.platform.calls",
            "kind",
            call.kind(),
            "verb",
            call.verb().label(),
            "result",
            result)
        .increment();
  }

  private static String path(String kind, String name) {
    return name.isEmpty()
        ? BASE_PATH + kind
        : BASE_PATH + kind + "/" + URLEncoder.encode(name, StandardCharsets.UTF_8);
  }
}
