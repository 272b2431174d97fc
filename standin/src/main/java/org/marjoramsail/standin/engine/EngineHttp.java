package org.marjoramsail.standin.engine;

import io.vertx.core.Handler;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import io.vertx.ext.web.handler.BodyHandler;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.marjoramsail.standin.engine.EngineBodies.CacheEventsBody;
import org.marjoramsail.standin.engine.EngineBodies.CancelledBody;
import org.marjoramsail.standin.engine.EngineBodies.DecodeBody;
import org.marjoramsail.standin.engine.EngineBodies.FreedBody;
import org.marjoramsail.standin.engine.EngineBodies.HeldListBody;
import org.marjoramsail.standin.engine.EngineBodies.PrefillBody;
import org.marjoramsail.standin.engine.EngineBodies.RefusalBody;
import org.marjoramsail.standin.server.Json;
import org.marjoramsail.standin.server.LoadStatus;

/** The engine's protocol over HTTP, except for orders. */
final class EngineHttp {

  private static final long BODY_LIMIT_BYTES = 16L * 1024 * 1024;
  private static final String JSON_TYPE = "application/json";
  private static final Buffer KV_BODY = Buffer.buffer("kv");

  private final Vertx vertx;
  private final EngineSettings settings;
  private final EngineFaults faults;
  private final HttpClient client;
  private final Json json;
  private final Supplier<EngineModel> model;
  private final Supplier<LoadStatus> status;
  private final Runnable wake;

  EngineHttp(
      Vertx vertx,
      EngineSettings settings,
      EngineFaults faults,
      HttpClient client,
      Json json,
      Supplier<EngineModel> model,
      Supplier<LoadStatus> status,
      Runnable wake) {
    this.vertx = vertx;
    this.settings = settings;
    this.faults = faults;
    this.client = client;
    this.json = json;
    this.model = model;
    this.status = status;
    this.wake = wake;
  }

  /** Routes of the whole protocol. */
  Handler<HttpServerRequest> routes(OrderHttp orders) {
    Router router = Router.router(vertx);
    router.post().handler(BodyHandler.create(false).setBodyLimit(BODY_LIMIT_BYTES));
    router.post("/v1/prefill").handler(this::prefill);
    router.post("/v1/decode").handler(this::decode);
    router.get("/v1/kv/:handle").handler(this::sendKv);
    router.delete("/v1/attempts/:request/:attempt").handler(this::cancel);
    router.get("/v1/attempts").handler(this::list);
    router.delete("/v1/attempts").handler(this::cancelRuns);
    router.get("/v1/status").handler(context -> answer(context, json, status.get()));
    router.get("/v1/cache-events").handler(this::cacheEvents);
    orders.addTo(router);
    return router;
  }

  private void prefill(RoutingContext context) {
    Optional<PrefillBody> body =
        json.read(context.body().buffer(), PrefillBody.class).filter(PrefillBody::isComplete);
    if (body.isEmpty()) {
      refuse(context.response(), json, EngineRefusal.MALFORMED);
      return;
    }
    PrefillBody asked = body.get();
    EngineModel engine = model.get();
    AttemptKey key = new AttemptKey(asked.request(), asked.attempt());
    EngineResponse answer = answerFor(key, context, engine);
    HeldAttempt attempt =
        HeldAttempt.prefill(
            key,
            new Holder(asked.daemon(), asked.incarnation()),
            asked.priority(),
            engine.read(asked.prompt()),
            answer);
    accept(context, engine, attempt, asked.model());
  }

  private void decode(RoutingContext context) {
    Optional<DecodeBody> body =
        json.read(context.body().buffer(), DecodeBody.class).filter(DecodeBody::isComplete);
    if (body.isEmpty()) {
      refuse(context.response(), json, EngineRefusal.MALFORMED);
      return;
    }
    DecodeBody asked = body.get();
    EngineModel engine = model.get();
    AttemptKey key = new AttemptKey(asked.request(), asked.attempt());
    EngineResponse answer = answerFor(key, context, engine);
    HeldAttempt attempt =
        HeldAttempt.decode(
            key,
            new Holder(asked.daemon(), asked.incarnation()),
            asked.priority(),
            engine.read(asked.prompt()),
            asked.kv(),
            asked.startIndex(),
            TokenText.count(asked.prompt(), asked.maximumTokens()),
            asked.maximumTokens(),
            answer);
    accept(context, engine, attempt, asked.model());
  }

  private EngineResponse answerFor(AttemptKey key, RoutingContext context, EngineModel engine) {
    KvFetcher fetcher = new KvFetcher(client, engine, faults);
    return new EngineResponse(key, context.response(), json, fetcher, settings.timings());
  }

  private void accept(
      RoutingContext context, EngineModel engine, HeldAttempt attempt, String asked) {
    context.response().closeHandler(closed -> engine.clientGone(attempt));
    engine.accept(attempt, asked).ifPresent(attempt.sink::refused);
    wake.run();
  }

  private void sendKv(RoutingContext context) {
    HttpServerResponse response = context.response();
    if (faults.isFailingTransfers()) {
      refuse(response, json, EngineRefusal.TRANSFER_FAILED);
      return;
    }
    EngineModel engine = model.get();
    Optional<EngineModel.Sending> sending =
        engine.startExport(context.pathParam("handle"), sent -> finishKv(response, sent));
    if (sending.isEmpty()) {
      refuse(response, json, EngineRefusal.KV_EXPIRED);
      return;
    }
    response.closeHandler(
        closed -> {
          if (!response.ended()) {
            engine.stopExport(sending.get());
          }
        });
  }

  private void finishKv(HttpServerResponse response, Optional<HeldAttempt> sent) {
    if (sent.isEmpty()) {
      refuse(response, json, EngineRefusal.KV_EXPIRED);
      return;
    }
    response
        .putHeader(KvFetcher.COMPUTED_TOKENS_HEADER, Integer.toString(sent.get().freshTokens))
        .putHeader(KvFetcher.CACHED_TOKENS_HEADER, Integer.toString(sent.get().cachedTokens))
        .end(KV_BODY);
  }

  private void cancel(RoutingContext context) {
    Optional<Long> attempt = number(context.pathParam("attempt"));
    if (attempt.isEmpty()) {
      refuse(context.response(), json, EngineRefusal.MALFORMED);
      return;
    }
    if (faults.isRefusingCancels()) {
      refuse(context.response(), json, EngineRefusal.CANCEL_REFUSED);
      return;
    }
    AttemptKey key = new AttemptKey(context.pathParam("request"), Math.toIntExact(attempt.get()));
    answer(context, json, new FreedBody(model.get().cancel(key)));
  }

  private void cancelRuns(RoutingContext context) {
    Optional<String> daemon = parameter(context, "daemon");
    Optional<Long> through = parameter(context, "throughIncarnation").flatMap(EngineHttp::number);
    if (daemon.isEmpty() || through.isEmpty()) {
      refuse(context.response(), json, EngineRefusal.MALFORMED);
      return;
    }
    if (faults.isRefusingCancels()) {
      refuse(context.response(), json, EngineRefusal.CANCEL_REFUSED);
      return;
    }
    answer(context, json, new CancelledBody(model.get().cancelRuns(daemon.get(), through.get())));
  }

  private void list(RoutingContext context) {
    Optional<String> daemon = parameter(context, "daemon");
    Optional<Long> incarnation = parameter(context, "incarnation").flatMap(EngineHttp::number);
    Predicate<Holder> wanted =
        holder ->
            daemon.map(holder.daemon()::equals).orElse(true)
                && incarnation.map(number -> number == holder.incarnation()).orElse(true);
    EngineModel engine = model.get();
    answer(context, json, new HeldListBody(engine.incarnation(), engine.list(wanted)));
  }

  private void cacheEvents(RoutingContext context) {
    long after = parameter(context, "after").flatMap(EngineHttp::number).orElse(0L);
    EngineModel engine = model.get();
    CacheEvents.Page page = engine.cacheEventsAfter(after);
    answer(context, json, new CacheEventsBody(engine.incarnation(), page.next(), page.events()));
  }

  private static Optional<String> parameter(RoutingContext context, String name) {
    return Optional.ofNullable(context.request().getParam(name));
  }

  private static Optional<Long> number(String text) {
    try {
      return Optional.of(Long.valueOf(text));
    } catch (NumberFormatException malformed) {
      return Optional.empty();
    }
  }

  static void answer(RoutingContext context, Json json, Object body) {
    context.response().putHeader("content-type", JSON_TYPE).end(json.write(body));
  }

  static void answer(RoutingContext context, Json json, int status, Object body) {
    context.response().setStatusCode(status);
    answer(context, json, body);
  }

  static void refuse(HttpServerResponse response, Json json, EngineRefusal refusal) {
    if (!response.closed() && !response.ended()) {
      response
          .setStatusCode(refusal.httpStatus())
          .putHeader("content-type", JSON_TYPE)
          .end(json.write(RefusalBody.of(refusal)));
    }
  }
}
