package org.marjoramsail.daemon.order;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServerRequest;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.marjoramsail.core.configuration.UpstreamDefinition;
import org.marjoramsail.core.model.UpstreamName;
import org.marjoramsail.core.model.UpstreamRole;
import org.marjoramsail.core.order.EngineOrder;
import org.marjoramsail.core.order.EngineOrderKind;
import org.marjoramsail.core.order.EngineState;
import org.marjoramsail.core.order.OrderProgress;
import org.marjoramsail.standin.network.JoinedHeadStandIn;
import org.marjoramsail.standin.network.JoinedHeadStandIn.Break;

final class HttpEngineOrdersTest {

  private static final String STATUS =
      "{\"name\":\"lector-1\",\"role\":\"decode\",\"model\":\"lector-8b\",\"version\":\"v1\","
          + "\"adapters\":[\"clerk\"],\"running\":2,\"waiting\":1,\"leaving\":true,"
          + "\"ageMillis\":70}";
  private static final String ORDERS =
      "{\"orders\":[{\"order\":\"o1\",\"token\":3,\"kind\":\"load-model\",\"state\":\"failed\","
          + "\"reason\":\"bad\"}],\"newestToken\":3}";

  private static final String FAILED = "failed";

  private final Vertx vertx = Vertx.vertx();
  private final Map<HttpConnection, Integer> statuses = new ConcurrentHashMap<>();
  private volatile boolean isRepeating;
  private final List<String> bodies = new CopyOnWriteArrayList<>();
  private final HttpEngineOrders orders = new HttpEngineOrders(vertx);
  private final UpstreamDefinition upstream = serve();

  private UpstreamDefinition serve() {
    int port =
        result(vertx.createHttpServer().requestHandler(this::respond).listen(0, "127.0.0.1"))
            .actualPort();
    return upstreamAt(port);
  }

  private static UpstreamDefinition upstreamAt(int port) {
    return new UpstreamDefinition(
        new UpstreamName("lector-1"),
        "lector",
        UpstreamRole.DECODE,
        "127.0.0.1",
        port,
        "a",
        "r",
        20,
        true,
        false);
  }

  private void respond(HttpServerRequest request) {
    if (request.path().equals("/v1/status")) {
      request.response().end(STATUS);
    } else if (request.method().name().equals("GET")) {
      request.response().end(ORDERS);
    } else {
      request.body().onSuccess(body -> acceptOrder(request, body));
    }
  }

  private void acceptOrder(HttpServerRequest request, Buffer body) {
    bodies.add(body.toString());
    boolean stale = body.toString().contains("\"token\":2,");
    int own = stale ? 409 : 202;
    Integer earlier = statuses.putIfAbsent(request.connection(), own);
    request.response().setStatusCode(isRepeating && earlier != null ? earlier : own).end("{}");
  }

  private static <T> T result(Future<T> future) {
    return future.toCompletionStage().toCompletableFuture().orTimeout(20, TimeUnit.SECONDS).join();
  }

  @AfterEach
  void close() {
    result(vertx.close());
  }

  @Test
  void theStateOfAnEngineIsReadFromItsStatusAndItsOrders() {
    EngineOrders.Reading reading = result(orders.read(upstream));

    assertThat(reading.ageMillis()).isEqualTo(70);
    assertThat(reading.state())
        .isEqualTo(
            new EngineState(
                upstream.name(),
                UpstreamRole.DECODE,
                "lector-8b",
                "v1",
                List.of("clerk"),
                3,
                true,
                List.of(
                    new OrderProgress(
                        "o1",
                        EngineOrderKind.LOAD_MODEL,
                        OrderProgress.State.FAILED,
                        Optional.of("bad")))));
  }

  @Test
  void anOrderCarriesItsTokenAndAStaleTokenIsReported() {
    EngineOrder order = EngineOrder.plain("o1", upstream.name(), EngineOrderKind.LEAVE);

    assertThat(result(orders.send(upstream, order, 3, () -> true)))
        .isEqualTo(EngineOrders.Outcome.TAKEN);
    assertThat(result(orders.send(upstream, order, 2, () -> true)))
        .isEqualTo(EngineOrders.Outcome.STALE_TOKEN);
    assertThat(bodies.get(0)).isEqualTo("{\"order\":\"o1\",\"token\":3,\"kind\":\"leave\"}");
  }

  /** Guards against an order that is taken for accepted by the response to an earlier one. */
  @Test
  void aResponseThatIsRepeatedIsNotThatToTheNextOrder() {
    EngineOrder order = EngineOrder.plain("o1", upstream.name(), EngineOrderKind.LEAVE);
    isRepeating = true;

    assertThat(result(orders.send(upstream, order, 3, () -> true)))
        .isEqualTo(EngineOrders.Outcome.TAKEN);
    assertThat(result(orders.send(upstream, order, 2, () -> true)))
        .isEqualTo(EngineOrders.Outcome.STALE_TOKEN);
  }

  /**
   * Guards against an outcome that is made of the status of one response and the rest of another.
   */
  @ParameterizedTest
  @EnumSource
  void aResponseThatAnotherOneContinuesTellsOfNoOutcome(Break place) {
    EngineOrder order = EngineOrder.plain("o1", upstream.name(), EngineOrderKind.LEAVE);

    assertThat(outcomeOf(order, new JoinedHeadStandIn(vertx, place, 409, 202, "{}")))
        .isEqualTo(FAILED);
    assertThat(outcomeOf(order, new JoinedHeadStandIn(vertx, place, 202, 409, "{}")))
        .isEqualTo(FAILED);
  }

  /** Guards against a state that is made of the status of one response and the body of another. */
  @ParameterizedTest
  @EnumSource
  void aResponseThatAnotherOneContinuesTellsOfNoState(Break place) {
    JoinedHeadStandIn server = new JoinedHeadStandIn(vertx, place, 200, 503, STATUS);

    assertThat(
            result(
                orders
                    .read(upstreamAt(result(server.start("127.0.0.1"))))
                    .map(reading -> reading.state().toString())
                    .otherwise(FAILED)))
        .isEqualTo(FAILED);
  }

  private String outcomeOf(EngineOrder order, JoinedHeadStandIn server) {
    return result(
        orders
            .send(upstreamAt(result(server.start("127.0.0.1"))), order, 3, () -> true)
            .map(EngineOrders.Outcome::name)
            .otherwise(FAILED));
  }

  @Test
  void noOrderIsSentAfterTheLeaseHasExpired() {
    EngineOrder order = EngineOrder.plain("o1", upstream.name(), EngineOrderKind.LEAVE);

    assertThat(result(orders.send(upstream, order, 3, () -> false)))
        .isEqualTo(EngineOrders.Outcome.NOT_SENT);
    assertThat(bodies).isEmpty();
  }
}
