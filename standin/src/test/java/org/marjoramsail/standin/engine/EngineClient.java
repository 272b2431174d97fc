package org.marjoramsail.standin.engine;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.client.HttpResponse;
import io.vertx.ext.web.client.WebClient;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Speaks the engine's protocol for tests. */
final class EngineClient {

  private static final int PATIENCE_SECONDS = 20;
  private static final String LOOPBACK = "127.0.0.1";

  /** An answer, with its lines as JSON. */
  record Answer(int status, List<JsonObject> lines) {

    JsonObject body() {
      return lines.get(0);
    }

    JsonObject last() {
      return lines.get(lines.size() - 1);
    }

    /** The texts of all tokens, joined. */
    String text() {
      StringBuilder text = new StringBuilder();
      lines.forEach(line -> text.append(line.getString("text", "")));
      return text.toString();
    }
  }

  private final WebClient client;

  EngineClient(Vertx vertx) {
    this.client = WebClient.create(vertx);
  }

  static <T> T await(Future<T> future) throws Exception {
    return future.toCompletionStage().toCompletableFuture().get(PATIENCE_SECONDS, TimeUnit.SECONDS);
  }

  static JsonObject attempt(String request, String prompt) {
    return new JsonObject()
        .put("request", request)
        .put("attempt", 1)
        .put("daemon", "entry-1")
        .put("incarnation", 7)
        .put("model", "lector")
        .put("priority", 1)
        .put("prompt", prompt);
  }

  static JsonObject decode(String request, String prompt, int maximumTokens) {
    return attempt(request, prompt)
        .put("promptTokens", 0)
        .put("maximumTokens", maximumTokens)
        .put("startIndex", 0);
  }

  static JsonObject source(int port, String handle) {
    return new JsonObject().put("address", LOOPBACK).put("port", port).put("handle", handle);
  }

  Future<Answer> post(int port, String path, JsonObject body) {
    return client.post(port, LOOPBACK, path).sendJsonObject(body).map(EngineClient::read);
  }

  Future<Answer> get(int port, String path) {
    return client.get(port, LOOPBACK, path).send().map(EngineClient::read);
  }

  Future<Answer> delete(int port, String path) {
    return client.delete(port, LOOPBACK, path).send().map(EngineClient::read);
  }

  private static Answer read(HttpResponse<?> response) {
    return new Answer(
        response.statusCode(), response.bodyAsString().lines().map(JsonObject::new).toList());
  }
}
