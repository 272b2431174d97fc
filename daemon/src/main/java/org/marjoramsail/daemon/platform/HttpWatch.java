package org.marjoramsail.daemon.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.parsetools.RecordParser;
import java.io.IOException;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import org.marjoramsail.daemon.platform.ObjectApiException.Failure;

/** One watch over HTTP: splits the answer into lines as they come and tells a listener of each. */
final class HttpWatch implements ObjectApi.Watch {

  private static final int MAXIMUM_LINE_BYTES = 2 << 20;
  private static final int OK = 200;

  private final Vertx vertx;
  private final ObjectApiCall call;
  private final ObjectJson json;
  private final ObjectApi.WatchListener listener;
  private final Consumer<Optional<Failure>> counter;
  private final AtomicBoolean ended = new AtomicBoolean();
  private final AtomicReference<HttpClientRequest> open = new AtomicReference<>();
  private long guardTimer;

  HttpWatch(
      Vertx vertx,
      ObjectApiCall call,
      ObjectJson json,
      ObjectApi.WatchListener listener,
      Consumer<Optional<Failure>> counter) {
    this.vertx = vertx;
    this.call = call;
    this.json = json;
    this.listener = listener;
    this.counter = counter;
  }

  /** Sends the request; the watch ends by itself after {@code openMillis}. */
  void open(Future<HttpClientRequest> connected, long openMillis) {
    // A platform that dies without closing its connection would leave the daemon waiting for news
    // that never comes; the guard ends such a watch, and the listener starts again.
    guardTimer = vertx.setTimer(openMillis, unused -> end(Failure.UNAVAILABLE, "no end came"));
    connected
        .compose(this::send)
        .onSuccess(this::receive)
        .onFailure(failure -> end(Failure.UNAVAILABLE, String.valueOf(failure.getMessage())));
  }

  @Override
  public void close() {
    ended.set(true);
    release();
  }

  private Future<HttpClientResponse> send(HttpClientRequest request) {
    open.set(request);
    if (ended.get()) {
      request.reset();
    }
    return request.send();
  }

  private void receive(HttpClientResponse response) {
    if (response.statusCode() != OK) {
      response
          .body()
          .onSuccess(body -> refuse(response, body))
          .onFailure(failure -> end(Failure.UNAVAILABLE, "cut"));
      return;
    }
    counter.accept(Optional.empty());
    RecordParser lines = RecordParser.newDelimited("\n", response);
    lines.maxRecordSize(MAXIMUM_LINE_BYTES);
    lines.exceptionHandler(failure -> end(Failure.UNAVAILABLE, "cut: " + failure.getMessage()));
    lines.endHandler(unused -> end(Failure.UNAVAILABLE, "the platform ended the watch"));
    lines.handler(this::line);
  }

  private void refuse(HttpClientResponse response, Buffer body) {
    ObjectApiException refusal =
        call.refused(response.statusCode(), body.toString(), response.getHeader("retry-after"));
    counter.accept(Optional.of(refusal.failure()));
    end(refusal);
  }

  private void line(Buffer line) {
    if (ended.get()) {
      return;
    }
    try {
      ObjectNode event = json.parse(line.getBytes());
      tell(event.path("type").asText(), event.path("object"));
    } catch (IOException failure) {
      end(Failure.UNAVAILABLE, "unreadable event: " + failure.getMessage());
    }
  }

  private void tell(String type, JsonNode object) throws IOException {
    switch (type) {
      case "ADDED", "MODIFIED" -> listener.stored(json.object(call.kind(), object));
      case "DELETED" -> listener.deleted(json.object(call.kind(), object));
      case "BOOKMARK" -> listener.bookmark(json.version(object));
      case "ERROR" -> end(call.refused(object.path("code").asInt(500), object.toString(), null));
      default -> end(Failure.UNAVAILABLE, "unknown event " + type);
    }
  }

  private void end(Failure failure, String detail) {
    end(call.failed(failure, detail, null));
  }

  private void end(ObjectApiException cause) {
    if (ended.compareAndSet(false, true)) {
      release();
      listener.ended(cause);
    }
  }

  private void release() {
    vertx.cancelTimer(guardTimer);
    HttpClientRequest request = open.get();
    if (request != null) {
      request.reset();
    }
  }
}
