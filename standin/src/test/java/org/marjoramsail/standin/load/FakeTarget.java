package org.marjoramsail.standin.load;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import java.util.List;
import java.util.Optional;

/** Answers every request in one way, right or wrong. */
final class FakeTarget {

  static final List<String> TOKENS = List.of("uno ", "dos ", "tres ");

  /** What it does with each request. */
  enum Behaviour {
    ANSWER,
    STREAM,
    CUT_STREAM,
    SHORT_STREAM,
    CROSSED_STREAM,
    REPEATED_TOKEN,
    SECOND_END,
    STREAM_THEN_ERROR,
    REFUSE,
    UNTYPED_ERROR,
    CLOSE,
    SILENCE
  }

  private final HttpServer server;

  FakeTarget(Vertx vertx, Behaviour behaviour) {
    this.server =
        vertx
            .createHttpServer()
            .requestHandler(
                request -> request.body().onSuccess(body -> answer(request, behaviour)));
  }

  Future<LoadTarget> start() {
    return server
        .listen(0, "127.0.0.1")
        .map(
            listening ->
                new LoadTarget("fake", "127.0.0.1", listening.actualPort(), Optional.empty()));
  }

  private static void answer(HttpServerRequest request, Behaviour behaviour) {
    HttpServerResponse response = request.response();
    response.putHeader("marjoramsail-request", "request-1");
    switch (behaviour) {
      case ANSWER -> response.end(plainBody(request));
      case STREAM -> stream(response, "uno ", "dos ", "tres ").end("data: [DONE]\n\n");
      case CUT_STREAM -> stream(response, "uno ").onWritten(() -> request.connection().close());
      case SHORT_STREAM -> stream(response, "uno ", "dos ").end("data: [DONE]\n\n");
      case CROSSED_STREAM -> stream(response, "uno ", "otra ").end("data: [DONE]\n\n");
      case REPEATED_TOKEN -> stream(response, "uno ", "uno ").end("data: [DONE]\n\n");
      case SECOND_END ->
          stream(response, "uno ", "dos ", "tres ").end("data: [DONE]\n\ndata: [DONE]\n\n");
      case STREAM_THEN_ERROR ->
          stream(response, "uno ").end("event: error\ndata: " + problem("unknown") + "\n\n");
      case REFUSE -> refuse(response);
      case UNTYPED_ERROR -> response.setStatusCode(502).end("bad gateway");
      case CLOSE -> request.connection().close();
      case SILENCE -> {
        // Never answers.
      }
    }
  }

  private static String plainBody(HttpServerRequest request) {
    return request.uri().endsWith("/completions")
        ? "{\"choices\":[{\"text\":\"uno dos tres \"}]}"
        : "answer to " + request.uri();
  }

  private static void refuse(HttpServerResponse response) {
    response
        .setStatusCode(503)
        .putHeader("content-type", "application/problem+json")
        .end(problem("not-run"));
  }

  private static String problem(String run) {
    return "{\"reason\":\"queue-full\",\"run\":\"%s\"}".formatted(run);
  }

  private static Frames stream(HttpServerResponse response, String... texts) {
    response.setChunked(true).putHeader("content-type", "text/event-stream");
    Future<Void> written = Future.succeededFuture();
    for (String text : texts) {
      written = response.write("data: {\"choices\":[{\"text\":\"%s\"}]}\n\n".formatted(text));
    }
    return new Frames(response, written);
  }

  /** Frames that were written, and how the stream goes on. */
  private record Frames(HttpServerResponse response, Future<Void> written) {
    void end(String last) {
      response.end(last);
    }

    void onWritten(Runnable next) {
      written.onSuccess(nothing -> next.run());
    }
  }
}
