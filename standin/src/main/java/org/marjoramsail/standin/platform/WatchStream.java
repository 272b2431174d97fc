package org.marjoramsail.standin.platform;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServerResponse;
import java.util.function.Consumer;

/** One open watch: a line of JSON for each event, until its time is over. */
final class WatchStream {

  private static final long MILLIS_PER_SECOND = 1_000;

  private final Vertx vertx;
  private final Context context;
  private final ObjectStore store;
  private final HttpServerResponse response;
  private final String kind;
  private final Consumer<WatchStream> onEnd;
  private long bookmarkTimer;
  private long endTimer;
  private Runnable unsubscribe = () -> {};

  WatchStream(
      Vertx vertx,
      ObjectStore store,
      HttpServerResponse response,
      String kind,
      Consumer<WatchStream> onEnd) {
    this.vertx = vertx;
    this.context = vertx.getOrCreateContext();
    this.store = store;
    this.response = response;
    this.kind = kind;
    this.onEnd = onEnd;
  }

  /** Starts the stream after a version; a version that was forgotten ends it with an error. */
  void start(long afterVersion, long bookmarkMillis, long timeoutSeconds) throws StoreException {
    unsubscribe = store.subscribe(kind, afterVersion, this::send);
    response.setChunked(true).putHeader("content-type", "application/json");
    response.closeHandler(unused -> stop());
    response.exceptionHandler(unused -> stop());
    response.writeHead();
    bookmarkTimer = vertx.setPeriodic(bookmarkMillis, unused -> sendBookmark());
    endTimer = vertx.setTimer(timeoutSeconds * MILLIS_PER_SECOND, unused -> end());
  }

  private void send(StoreEvent event) {
    ObjectNode line = JsonNodeFactory.instance.objectNode();
    line.put("type", event.type().name());
    line.set("object", event.entry().toJson());
    write(line);
  }

  private void sendBookmark() {
    ObjectNode line = JsonNodeFactory.instance.objectNode();
    line.put("type", "BOOKMARK");
    line.putObject("object")
        .put("kind", kind)
        .putObject("metadata")
        .put("resourceVersion", Long.toString(store.version()));
    write(line);
  }

  private void write(ObjectNode line) {
    context.runOnContext(
        unused -> {
          if (response.closed() || response.ended()) {
            return;
          }
          if (response.writeQueueFull()) {
            // A reader that stops reading would let events pile up in memory without end; it sees
            // its watch cut and starts again from its last version.
            response.reset();
            return;
          }
          response.write(line + "\n");
        });
  }

  /** Ends the stream; may be called from any thread. */
  void end() {
    context.runOnContext(
        unused -> {
          stop();
          if (!response.closed() && !response.ended()) {
            response.end();
          }
        });
  }

  private void stop() {
    unsubscribe.run();
    onEnd.accept(this);
    vertx.cancelTimer(bookmarkTimer);
    vertx.cancelTimer(endTimer);
  }
}
