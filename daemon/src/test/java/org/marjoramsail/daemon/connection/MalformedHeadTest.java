package org.marjoramsail.daemon.connection;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.Supplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.marjoramsail.core.configuration.UpstreamDefinition;
import org.marjoramsail.core.model.UpstreamName;
import org.marjoramsail.core.model.UpstreamRole;
import org.marjoramsail.core.order.EngineOrder;
import org.marjoramsail.core.order.EngineOrderKind;
import org.marjoramsail.daemon.fixture.Waits;
import org.marjoramsail.daemon.order.EngineOrders;
import org.marjoramsail.daemon.order.HttpEngineOrders;
import org.marjoramsail.daemon.platform.HostList;
import org.marjoramsail.daemon.platform.HostListClient;
import org.marjoramsail.daemon.platform.HttpObjectApi;
import org.marjoramsail.daemon.platform.HttpObjectApiSettings;
import org.marjoramsail.daemon.upstream.EngineClient;
import org.marjoramsail.daemon.upstream.UpstreamEndpoint;
import org.marjoramsail.daemon.upstream.UpstreamHttp;
import org.marjoramsail.daemon.upstream.UpstreamLimits;
import org.marjoramsail.standin.network.MalformedHeadStandIn;
import org.marjoramsail.standin.network.MalformedHeadStandIn.Fault;

/** Guards against responses with a malformed head that the clients of a daemon accept. */
@Timeout(60)
final class MalformedHeadTest {

  private static final String ADDRESS = "127.0.0.1";
  private static final int REQUESTS = 3;
  private static final String FAILED = "failed";

  private final Vertx vertx = Vertx.vertx();
  private final MeterRegistry meters = new SimpleMeterRegistry();

  @AfterEach
  void close() {
    Waits.get(vertx.close());
  }

  @ParameterizedTest
  @EnumSource
  void theStatusOfAnEngineIsNotRead(Fault fault) {
    int port = start(new MalformedHeadStandIn(vertx, fault, 200, "{}"));
    UpstreamHttp http = new UpstreamHttp(vertx, UpstreamLimits.defaults());
    EngineClient engines = new EngineClient(http, new ObjectMapper(), meters);
    http.malformedHeads().registerWith(meters, "upstream");

    String result =
        onEventLoop(
            () ->
                engines
                    .status(new UpstreamEndpoint(new UpstreamName("engine-1"), ADDRESS, port))
                    .map(Object::toString)
                    .otherwise(FAILED));

    assertThat(result).isEqualTo(FAILED);
    assertThat(counted("upstream")).isEqualTo(1);
  }

  @ParameterizedTest
  @EnumSource
  void anOrderToAnEngineIsNotTaken(Fault fault) {
    int port = start(new MalformedHeadStandIn(vertx, fault, 202, "{}"));
    HttpEngineOrders orders = new HttpEngineOrders(vertx);
    EngineOrder order =
        EngineOrder.plain("order-1", new UpstreamName("engine-1"), EngineOrderKind.LEAVE);

    String result =
        onEventLoop(
            () ->
                orders
                    .send(engine(port), order, 1, () -> true)
                    .map(EngineOrders.Outcome::name)
                    .otherwise(FAILED));

    assertThat(result).isEqualTo(FAILED);
  }

  @ParameterizedTest
  @EnumSource
  void anObjectIsNotRead(Fault fault) {
    int port =
        start(
            new MalformedHeadStandIn(
                vertx,
                fault,
                200,
                "{\"metadata\":{\"name\":\"first\",\"resourceVersion\":\"1\"},\"spec\":{}}"));
    try (HttpObjectApi objects =
        new HttpObjectApi(vertx, HttpObjectApiSettings.defaults(ADDRESS, port), meters)) {

      String result =
          onEventLoop(() -> objects.get("roots", "first").map(Object::toString).otherwise(FAILED));

      assertThat(result).isEqualTo(FAILED);
      assertThat(counted("object-api")).isEqualTo(1);
    }
  }

  @ParameterizedTest
  @EnumSource
  void aListOfHostsIsNotRead(Fault fault) {
    MalformedHeadStandIn server =
        new MalformedHeadStandIn(vertx, fault, 200, "{\"hosts\":[],\"ageMillis\":1}");
    int port = start(server);
    Queue<HostList> lists = new ConcurrentLinkedQueue<>();
    try (HostListClient client =
        new HostListClient(
            vertx,
            HttpObjectApiSettings.defaults(ADDRESS, port),
            () -> 10,
            new Random(1),
            meters,
            lists::add)) {

      client.start();
      Waits.until("the list is requested again", () -> server.requests() >= REQUESTS);

      assertThat(lists).isEmpty();
    }
  }

  private int start(MalformedHeadStandIn server) {
    return Waits.get(server.start(ADDRESS));
  }

  private double counted(String client) {
    return meters.get(MalformedHeadCounts.METER).tag("client", client).functionCounters().stream()
        .mapToDouble(counter -> counter.count())
        .sum();
  }

  /** Makes a call on an event loop: elsewhere a response may end before its body is requested. */
  private <T> T onEventLoop(Supplier<Future<T>> call) {
    Promise<T> result = Promise.promise();
    vertx.runOnContext(begins -> call.get().onComplete(result));
    return Waits.get(result.future());
  }

  private static UpstreamDefinition engine(int port) {
    return new UpstreamDefinition(
        new UpstreamName("engine-1"),
        "lector",
        UpstreamRole.DECODE,
        ADDRESS,
        port,
        "a",
        "r",
        20,
        true,
        false);
  }
}
