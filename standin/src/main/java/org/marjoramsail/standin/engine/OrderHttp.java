package org.marjoramsail.standin.engine;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import java.net.URI;
import java.util.Optional;
import java.util.function.Supplier;
import org.marjoramsail.standin.engine.EngineBodies.OrderBody;
import org.marjoramsail.standin.engine.EngineBodies.OrderListBody;
import org.marjoramsail.standin.engine.EngineBodies.OrderStateBody;
import org.marjoramsail.standin.engine.EngineBodies.StaleBody;
import org.marjoramsail.standin.server.Json;

/** Orders to the engine: taken over HTTP, fenced by their tokens, carried out after their time. */
final class OrderHttp {

  private static final int OK = 200;
  private static final int ACCEPTED = 202;
  private static final int CONFLICT = 409;
  private static final String STALE_TOKEN = "stale-token";

  private final Vertx vertx;
  private final EngineSettings settings;
  private final HttpClient client;
  private final Json json;
  private final OrderBook book;
  private final Supplier<EngineModel> model;

  OrderHttp(
      Vertx vertx,
      EngineSettings settings,
      HttpClient client,
      Json json,
      OrderBook book,
      Supplier<EngineModel> model) {
    this.vertx = vertx;
    this.settings = settings;
    this.client = client;
    this.json = json;
    this.book = book;
    this.model = model;
  }

  void addTo(Router router) {
    router.post("/v1/orders").handler(this::take);
    router.get("/v1/orders").handler(this::list);
  }

  private void list(RoutingContext context) {
    EngineHttp.answer(context, json, new OrderListBody(book.entries(), book.newestToken()));
  }

  private void take(RoutingContext context) {
    Optional<OrderBody> body = json.read(context.body().buffer(), OrderBody.class);
    Optional<OrderKind> kind =
        body.filter(order -> order.order() != null)
            .flatMap(order -> OrderKind.of(order.kind()))
            .filter(known -> known.accepts(body.get()));
    if (kind.isEmpty()) {
      EngineHttp.refuse(context.response(), json, EngineRefusal.MALFORMED);
      return;
    }
    OrderBody order = body.get();
    Optional<OrderBook.Entry> known = book.find(order.order());
    if (known.isPresent()) {
      EngineHttp.answer(context, json, ACCEPTED, new OrderStateBody(known.get().state()));
    } else if (book.refuses(order)) {
      EngineHttp.answer(context, json, CONFLICT, new StaleBody(STALE_TOKEN, book.newestToken()));
    } else {
      book.begin(order);
      carryOut(order, kind.get());
      OrderBook.State state = book.find(order.order()).orElseThrow().state();
      EngineHttp.answer(context, json, ACCEPTED, new OrderStateBody(state));
    }
  }

  private void carryOut(OrderBody order, OrderKind kind) {
    EngineModel engine = model.get();
    Optional<URI> store = settings.weightStore().filter(uri -> kind == OrderKind.LOAD_MODEL);
    long millis = kind.durationMillis(settings.timings());
    if (store.isPresent()) {
      fetchWeights(store.get(), order)
          .onSuccess(fetched -> finish(order, kind, engine))
          .onFailure(failure -> fail(order, engine));
    } else if (millis == 0) {
      finish(order, kind, engine);
    } else {
      vertx.setTimer(settings.timings().realMillis(millis), timer -> finish(order, kind, engine));
    }
  }

  private void finish(OrderBody order, OrderKind kind, EngineModel engine) {
    if (engine == model.get() && !engine.isCrashed()) {
      kind.apply(order, engine);
      book.done(order);
    }
  }

  private void fail(OrderBody order, EngineModel engine) {
    if (engine == model.get() && !engine.isCrashed()) {
      book.failed(order, OrderFailure.WEIGHTS_UNAVAILABLE);
    }
  }

  private Future<Void> fetchWeights(URI store, OrderBody order) {
    RequestOptions options =
        new RequestOptions()
            .setMethod(HttpMethod.GET)
            .setHost(store.getHost())
            .setPort(store.getPort())
            .setURI(
                "/weights/" + order.model().orElseThrow() + "/" + order.version().orElseThrow());
    return client
        .request(options)
        .compose(request -> request.send())
        .compose(
            response ->
                response.statusCode() == OK
                    ? response.body().<Void>mapEmpty()
                    : Future.failedFuture(new WeightStoreException(store, response.statusCode())));
  }
}
