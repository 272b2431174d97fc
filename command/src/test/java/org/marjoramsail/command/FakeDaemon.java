package org.marjoramsail.command;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.OptionalLong;
import java.util.concurrent.atomic.AtomicLong;
import org.marjoramsail.command.fleet.FleetDaemon;
import org.marjoramsail.standin.engine.TokenText;

/** Answers callers itself, without servers behind it; can be told to answer one token too few. */
final class FakeDaemon implements FleetDaemon {

  private final ObjectMapper mapper = new ObjectMapper();
  private final AtomicLong requests = new AtomicLong();
  private final HttpServer server;
  private final boolean truncating;

  private FakeDaemon(Vertx vertx, boolean truncating) {
    this.truncating = truncating;
    this.server =
        vertx
            .createHttpServer()
            .requestHandler(request -> request.body().onSuccess(body -> answer(request, body)));
  }

  static Future<FleetDaemon> start(Vertx vertx, boolean truncating) {
    FakeDaemon daemon = new FakeDaemon(vertx, truncating);
    return daemon.server.listen(0, "127.0.0.1").map(daemon);
  }

  @Override
  public int callerPort() {
    return server.actualPort();
  }

  @Override
  public int operatorPort() {
    return server.actualPort();
  }

  @Override
  public int peerPort() {
    return server.actualPort();
  }

  @Override
  public Future<Void> stop() {
    return server.close();
  }

  @Override
  public Future<Void> kill() {
    return server.close();
  }

  @Override
  public OptionalLong violations() {
    return OptionalLong.empty();
  }

  @Override
  public void pause(long millis) {
    throw new UnsupportedOperationException("Nothing pauses the fake daemon.");
  }

  private void answer(HttpServerRequest request, Buffer body) {
    String id = "request-" + requests.incrementAndGet();
    HttpServerResponse response = request.response().putHeader("marjoramsail-request", id);
    try {
      JsonNode asked = mapper.readTree(body.toString());
      if (asked.has("prompt")) {
        complete(asked, response);
      } else {
        String reference = asked.path("reference").asText();
        response.end("{\"request\":\"%s\",\"reference\":\"%s\"}".formatted(id, reference));
      }
    } catch (IOException failure) {
      throw new UncheckedIOException(failure);
    }
  }

  private void complete(JsonNode asked, HttpServerResponse response) {
    String text =
        TokenText.completion(asked.path("prompt").asText(), asked.path("max_tokens").asInt());
    String sent = truncating ? text.substring(0, text.length() - 2) : text;
    String frame = "{\"choices\":[{\"text\":\"%s\"}]}".formatted(sent);
    if (asked.path("stream").asBoolean()) {
      response
          .putHeader("content-type", "text/event-stream")
          .end("data: " + frame + "\n\ndata: [DONE]\n\n");
    } else {
      response.end(frame);
    }
  }
}
