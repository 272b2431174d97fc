package org.marjoramsail.daemon.operator;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.micrometer.core.instrument.MeterRegistry;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import io.vertx.ext.web.handler.BodyHandler;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import org.marjoramsail.core.configuration.OrderId;
import org.marjoramsail.core.model.RequestId;
import org.marjoramsail.core.time.Clock;
import org.marjoramsail.daemon.settings.AdministrationSettings;
import org.marjoramsail.language.ObjectForm;
import org.marjoramsail.language.Order;
import org.marjoramsail.language.Question;
import org.marjoramsail.language.Subject;

/** Serves operators over HTTP: the administration API, metrics and health. */
public final class AdministrationServer {

  private static final String OPENAPI = "openapi.json";

  private final Vertx vertx;
  private final OperatorListener listener;
  private final AdministrationSettings settings;
  private final OperatorTokens tokens;
  private final Administration administration;
  private final Supplier<String> metrics;
  private final Health health;
  private final Supplier<OrderId> orderIds;
  private final AdministrationResponses responses;
  private final HttpServer server;

  /**
   * Creates an instance with all that it needs; nothing happens before {@link #start}.
   *
   * @param listener where operators connect
   * @param settings the tokens and the limits of the API itself
   * @param administration does what operators ask for
   * @param metrics the text that Prometheus reads
   * @param health how the daemon is
   * @param orderIds names orders that the operator's side did not name
   * @param clock measures how often each token asks
   * @param meters count refusals by reason
   */
  public AdministrationServer(
      Vertx vertx,
      OperatorListener listener,
      AdministrationSettings settings,
      Administration administration,
      Supplier<String> metrics,
      Health health,
      Supplier<OrderId> orderIds,
      Clock clock,
      MeterRegistry meters) {
    this.vertx = vertx;
    this.listener = listener;
    this.settings = settings;
    this.tokens = new OperatorTokens(settings, clock);
    this.administration = administration;
    this.metrics = metrics;
    this.health = health;
    this.orderIds = orderIds;
    this.responses = new AdministrationResponses(meters);
    this.server = vertx.createHttpServer(listener.options());
  }

  /** Listens; gives the port on which it does. */
  public Future<Integer> start() {
    return server
        .requestHandler(router())
        .listen(listener.endpoint().port(), listener.endpoint().address())
        .onSuccess(listening -> renewKeys())
        .map(HttpServer::actualPort);
  }

  /** Closes the port and all connections. */
  public Future<Void> stop() {
    return server.close();
  }

  /** Certificates are replaced in their files; a daemon that kept the old one would be refused. */
  private void renewKeys() {
    if (listener.reloadMillis() > 0 && listener.keyFiles().isPresent()) {
      vertx.setPeriodic(
          listener.reloadMillis(),
          timer -> server.updateSSLOptions(OperatorListener.renewed(listener.keyFiles().get())));
    }
  }

  private Router router() {
    Router router = Router.router(vertx);
    router.get("/health/live").handler(this::live);
    router.get("/health/ready").handler(this::ready);
    router
        .get("/metrics")
        .handler(context -> responses.text(context, "text/plain; version=0.0.4", metrics.get()));
    router
        .get("/admin/v1/openapi.json")
        .handler(context -> responses.text(context, "application/json", openApi()));
    router.route("/admin/v1/*").handler(this::identify);
    router
        .route("/admin/v1/*")
        .handler(BodyHandler.create(false).setBodyLimit(settings.bodyBytes()));
    router.post("/admin/v1/statements").handler(this::statement);
    router.get("/admin/v1/requests/:request").handler(this::explain);
    router.get("/admin/v1/:subject").handler(this::show);
    router.put("/admin/v1/:kind/:name").handler(this::put);
    router.delete("/admin/v1/:kind/:name").handler(this::delete);
    router.route().handler(responses::notFound).failureHandler(responses::failed);
    return router;
  }

  private void live(RoutingContext context) {
    responses.health(
        context, health.isLive() ? Optional.empty() : Optional.of("the process does not work"));
  }

  private void ready(RoutingContext context) {
    responses.health(context, health.notReady());
  }

  private void identify(RoutingContext context) {
    try {
      Optional<String> header = Optional.ofNullable(context.request().getHeader("authorization"));
      OperatorIdentity operator = tokens.identify(header);
      context.put(OperatorIdentity.class.getName(), operator);
      context.next();
    } catch (AdministrationException failure) {
      responses.refuse(context, failure);
    }
  }

  private static OperatorIdentity operator(RoutingContext context) {
    return context.get(OperatorIdentity.class.getName());
  }

  private void statement(RoutingContext context) {
    respond(
        context,
        () -> {
          StatementRequest request = StatementRequest.of(context.body().buffer());
          OrderId order = request.order().map(OrderId::new).orElseGet(orderIds);
          return administration.run(
              operator(context), request.text(), request.dryRun(), order, request.baseRevision());
        });
  }

  private void explain(RoutingContext context) {
    RequestId request = new RequestId(context.pathParam("request"));
    respond(context, () -> administration.ask(operator(context), new Question.Explain(request)));
  }

  private void show(RoutingContext context) {
    respond(
        context,
        () -> {
          String code = context.pathParam("subject");
          Subject subject = AdministrationPaths.subject(code);
          return administration.ask(
              operator(context), AdministrationPaths.show(subject, context.queryParams()));
        });
  }

  private void put(RoutingContext context) {
    respond(
        context,
        () -> {
          ObjectForm form = AdministrationPaths.form(context.pathParam("kind"));
          String name = context.pathParam("name");
          ObjectNode json = StatementRequest.object(context.body().buffer());
          String summary = "put " + form.code() + " " + name;
          return administration.put(orderContext(context, summary), form, name, json);
        });
  }

  private void delete(RoutingContext context) {
    respond(
        context,
        () -> {
          ObjectForm form = AdministrationPaths.form(context.pathParam("kind"));
          Order order = new Order.Delete(form, context.pathParam("name"));
          return administration.carryOut(orderContext(context, order.canonical()), List.of(order));
        });
  }

  private OrderContext orderContext(RoutingContext context, String summary)
      throws AdministrationException {
    return AdministrationPaths.orderContext(
        operator(context), context.queryParams(), orderIds, summary);
  }

  private void respond(RoutingContext context, Work work) {
    Future<StatementResponse> answer;
    try {
      answer = work.begin();
    } catch (AdministrationException failure) {
      answer = Future.failedFuture(failure);
    }
    answer
        .onSuccess(done -> responses.answer(context, done))
        .onFailure(failure -> responses.refuse(context, failure));
  }

  /** What a request asks for; refuses what it cannot understand. */
  @FunctionalInterface
  private interface Work {
    Future<StatementResponse> begin() throws AdministrationException;
  }

  private static String openApi() {
    try (InputStream stream = AdministrationServer.class.getResourceAsStream(OPENAPI)) {
      return new String(stream.readAllBytes(), StandardCharsets.UTF_8);
    } catch (IOException failure) {
      throw new UncheckedIOException("The program's own " + OPENAPI + " is broken.", failure);
    }
  }
}
