package org.marjoramsail.standin.engine;

import io.vertx.core.Future;
import io.vertx.core.Handler;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.PoolOptions;
import java.util.OptionalLong;
import java.util.random.RandomGenerator;
import org.marjoramsail.standin.server.Json;
import org.marjoramsail.standin.server.LoadStatus;
import org.marjoramsail.standin.server.ScaledTime;
import org.marjoramsail.standin.server.UpstreamVerticle;

/** Everything of an engine that runs on its own Vert.x context. */
final class EngineVerticle extends UpstreamVerticle {

  /** Connections to any one other engine; each carries one transfer. */
  private static final int TRANSFER_CONNECTIONS = 128;

  private final EngineSettings settings;
  private final EngineFaults faults;
  private final AuditBook audit;
  private final RandomGenerator random;
  private final OrderBook orders;
  private HttpClient client;
  private EngineModel model;

  EngineVerticle(
      EngineSettings settings,
      ScaledTime time,
      EngineFaults faults,
      AuditBook audit,
      RandomGenerator random) {
    super(time, frame(settings));
    this.settings = settings;
    this.faults = faults;
    this.audit = audit;
    this.random = random;
    this.orders = new OrderBook(settings.tokenPolicy(), audit);
  }

  private static Frame frame(EngineSettings settings) {
    EngineTimings timings = settings.timings();
    return new Frame(
        settings.address(),
        settings.port(),
        timings.tickMillis(),
        timings.reportEveryMillis(),
        timings.reportLagMillis(),
        timings.timeScale());
  }

  @Override
  protected Handler<HttpServerRequest> makeHandler() {
    client =
        vertx.createHttpClient(
            new HttpClientOptions(), new PoolOptions().setHttp1MaxSize(TRANSFER_CONNECTIONS));
    Json json = new Json();
    OrderHttp orderHttp = new OrderHttp(vertx, settings, client, json, orders, () -> model);
    return new EngineHttp(
            vertx, settings, faults, client, json, () -> model, this::visibleStatus, this::wake)
        .routes(orderHttp);
  }

  @Override
  protected void incarnate(long newIncarnation) {
    model =
        new EngineModel(
            settings, time, faults, audit, random, newIncarnation, this::crashFromPrompt);
  }

  /** The model is in the middle of a step, so the crash is left to the next event. */
  private void crashFromPrompt() {
    EngineTimings timings = settings.timings();
    long down = timings.realMillis(timings.restartMillis());
    context.runOnContext(ignored -> crash(OptionalLong.of(down)));
  }

  @Override
  protected void lose() {
    model.crash();
    orders.crashed();
  }

  @Override
  protected void crashed() {
    audit.crashed();
  }

  @Override
  protected boolean isIdle() {
    return model.isIdle();
  }

  @Override
  protected void tick() {
    model.advance();
  }

  @Override
  protected LoadStatus currentStatus(long ofIncarnation) {
    EngineIdentity identity = model.identity();
    return new LoadStatus(
        settings.name(),
        ofIncarnation,
        identity.role().name(),
        identity.model(),
        identity.version(),
        identity.adapters(),
        settings.slots(),
        model.running(),
        model.waiting(),
        model.queuedPrefillTokens(),
        model.heldKvBytes(),
        identity.isLeaving(),
        0,
        orders.newestToken());
  }

  Future<Void> leave(boolean leaving) {
    model.identity().leave(leaving);
    return Future.succeededFuture();
  }

  @Override
  protected Future<Void> release() {
    return client.close();
  }
}
