package org.marjoramsail.daemon.forward;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.tuple;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import java.lang.reflect.Proxy;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.Function;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.marjoramsail.core.failure.Refusal;
import org.marjoramsail.core.failure.RefusalReason;
import org.marjoramsail.core.feedback.UpstreamFeedbackTable;
import org.marjoramsail.core.model.DaemonId;
import org.marjoramsail.core.model.Repeatability;
import org.marjoramsail.core.routing.CallerLimits;
import org.marjoramsail.core.routing.OutputForecast;
import org.marjoramsail.core.routing.Route;
import org.marjoramsail.core.routing.RouteTable;
import org.marjoramsail.core.routing.RoutingConfiguration;
import org.marjoramsail.core.routing.WeightedService;
import org.marjoramsail.core.time.ManualClock;
import org.marjoramsail.daemon.fixture.AcceptQueue;
import org.marjoramsail.daemon.fixture.Waits;

/** Guards against a caller without a response after the handling of its request threw. */
final class ForwardServerTest {

  private record Answer(int status, Buffer body) {}

  private static final String ADDRESS = "127.0.0.1";
  private static final String HOST = "desk.example";
  private static final int QUEUED = 20;
  private static final String CLOSING_CALL =
      "GET /unknown HTTP/1.1\r\nhost: desk.example\r\nconnection: close\r\n\r\n";
  private static final int BODY_MEMORY_BYTES = 1_000;
  private static final RoutingConfiguration ROUTING =
      new RoutingConfiguration(
          1,
          new RouteTable(
              List.of(
                  new Route(
                      "status",
                      HOST,
                      "/status/",
                      Repeatability.IDEMPOTENT,
                      false,
                      1_000,
                      500,
                      0,
                      0,
                      2,
                      List.of(new WeightedService("desk", 1))))),
          List.of(),
          new CallerLimits(8_192, 8_192, 1_000, 1_000));

  private final Vertx vertx = Vertx.vertx();
  private final HttpClient client = vertx.createHttpClient();
  private final SimpleMeterRegistry meters = new SimpleMeterRegistry();
  private final Queue<Refusal> refused = new ConcurrentLinkedQueue<>();
  private Optional<Error> headFailure = Optional.empty();
  private Optional<Error> bodyFailure = Optional.empty();
  private final ManualClock clock = new ManualClock(0);
  private ForwardServer server;
  private int port;

  @BeforeEach
  void start() {
    server = new ForwardServer(vertx, dependencies(), new ObjectMapper());
    port = Waits.get(server.start(ADDRESS, 0));
  }

  @AfterEach
  void close() {
    Waits.get(vertx.close());
  }

  @Test
  void aRequestWhoseHeadExhaustsTheStackIsRefusedAsNotRun() {
    headFailure = Optional.of(new StackOverflowError("too deep"));

    assertThatCallIsRefused();
  }

  @Test
  void aRequestThatRunsOutOfMemoryBeforeItIsRegisteredIsRefusedAsNotRun() {
    bodyFailure = Optional.of(new OutOfMemoryError("no heap"));

    assertThatCallIsRefused();
  }

  /** Guards against bodies that are collected until the memory of the process is exhausted. */
  @Test
  void aBodyForWhichThereIsNoRoomIsRefusedUntilTheOthersHaveEnded() {
    HttpClientRequest unfinished = Waits.get(begin());
    unfinished.setChunked(true);
    Waits.get(unfinished.write(Buffer.buffer("c".repeat(BODY_MEMORY_BYTES))));

    Waits.until("the body is held", () -> reasonOf(call()).equals("memory-limit"));

    Waits.get(unfinished.connection().close());
    Waits.until("the body is released", () -> !reasonOf(call()).equals("memory-limit"));
  }

  /** Guards against requests that a busy event loop reads too late to complete them. */
  @Test
  void aRequestThatIsReadOnceTheBalancerHasLeftIsRefusedThoughThePortIsOpen() {
    server.announceStop(3_000, 7_000);
    clock.advance(3_000);

    assertThat(reasonOf(call())).isEqualTo("stopping");
  }

  /** Guards against refusals of requests that balancers still send while they learn of a stop. */
  @Test
  void aRequestThatIsReadBeforeTheBalancerHasLeftIsNotRefusedForTheStop() {
    server.announceStop(3_000, 7_000);
    clock.advance(2_999);

    assertThat(reasonOf(call())).isNotEqualTo("stopping");
  }

  /** Guards against requests whose body ends too late, and which are cut off once passed on. */
  @Test
  void aRequestWhoseBodyEndsAfterTheTimeForTheStopIsRefused() {
    HttpClientRequest unfinished = Waits.get(begin());
    unfinished.setChunked(true);
    Waits.get(unfinished.write(Buffer.buffer("c".repeat(BODY_MEMORY_BYTES))));
    Waits.until("the body is held", () -> reasonOf(call()).equals("memory-limit"));
    server.announceStop(3_000, 7_000);
    clock.advance(7_000);

    Future<Answer> answer = unfinished.response().compose(ForwardServerTest::answer);
    Waits.get(unfinished.end());

    assertThat(reasonOf(Waits.get(answer))).isEqualTo("stopping");
  }

  /** Guards against retries of a body that fits into no memory of this daemon at any time. */
  @Test
  void aBodyThatIsLargerThanTheMemoryForAllBodiesIsRefusedAsTooLarge() {
    Buffer body = Buffer.buffer("c".repeat(BODY_MEMORY_BYTES + 1));

    Answer declared = call(request -> request.send(body));
    Answer chunked = call(request -> request.setChunked(true).send(body));

    assertThat(List.of(declared, chunked))
        .extracting(Answer::status, ForwardServerTest::reasonOf)
        .containsOnly(tuple(413, "body-too-large"));
    assertThat(declared.body().toJsonObject().getString("detail"))
        .contains("allowed: " + BODY_MEMORY_BYTES);
  }

  /** Guards against a reset of callers and of other daemons as the ports close. */
  @Test
  void portsThatCloseServeAllConnectionsInTheirAcceptQueues() throws Exception {
    int relayPort = Waits.get(server.startRelay(ADDRESS, 0));
    try (AcceptQueue first = new AcceptQueue(vertx)) {
      first.add(1, port, CLOSING_CALL).add(1, relayPort, CLOSING_CALL).release().results();
    }

    try (AcceptQueue queue = new AcceptQueue(vertx)) {
      queue.add(QUEUED, port, CLOSING_CALL).add(QUEUED, relayPort, CLOSING_CALL);
      Future<Void> unused = server.closePort();
      List<String> results = queue.release().results();

      assertThat(results.subList(0, QUEUED)).containsOnly("HTTP/1.1 404 Not Found");
      assertThat(results.subList(QUEUED, 2 * QUEUED)).containsOnly("HTTP/1.1 403 Forbidden");
    }
  }

  private static String reasonOf(Answer answer) {
    return answer.body().toJsonObject().getString("reason");
  }

  private void assertThatCallIsRefused() {
    Answer answer = call();

    assertThat(answer.status()).isEqualTo(503);
    assertThat(answer.body().toJsonObject().getString("reason")).isEqualTo("internal");
    assertThat(answer.body().toJsonObject().getString("run")).isEqualTo("not-run");
    assertThat(refused).extracting(Refusal::reason).containsExactly(RefusalReason.INTERNAL);
    Waits.until(
        "the failure is counted",
        () -> meters.counter("marjoramsail.requests.failed.internally").count() == 1);
  }

  private Answer call() {
    return call(request -> request.send(Buffer.buffer("content")));
  }

  private Answer call(Function<HttpClientRequest, Future<HttpClientResponse>> send) {
    return Waits.get(
        begin().compose(request -> send.apply(request).compose(ForwardServerTest::answer)));
  }

  private static Future<Answer> answer(HttpClientResponse response) {
    return response.body().map(body -> new Answer(response.statusCode(), body));
  }

  private Future<HttpClientRequest> begin() {
    return client
        .request(HttpMethod.POST, port, ADDRESS, "/status/1")
        .map(request -> request.putHeader("host", HOST));
  }

  private ForwardServerDependencies dependencies() {
    DaemonId daemon = new DaemonId("entry-1", 1);
    Random random = new Random(7);
    return new ForwardServerDependencies(
        daemon,
        protocol(),
        () -> Optional.of(ROUTING),
        null,
        upstream -> Optional.empty(),
        service -> 0L,
        service -> 1,
        null,
        new UpstreamFeedbackRecorder(new UpstreamFeedbackTable(), clock, meters),
        new StreamDirectory(daemon, null, (delayMillis, task) -> {}, clock),
        new ConfirmedRoutes(),
        null,
        ListConfirmation.NONE,
        meters,
        new OutputForecast(),
        refused::add,
        BODY_MEMORY_BYTES,
        ConnectFaults.NONE,
        new Relays(daemon, null, clock, random),
        "token",
        clock,
        random);
  }

  /** Returns a protocol that throws the failures of the test while a request is read. */
  private ForwardingProtocol protocol() {
    Map<String, Runnable> failures =
        Map.of(
            "parametersOf", () -> headFailure.ifPresent(ForwardServerTest::raise),
            "forwardedHeaders", () -> bodyFailure.ifPresent(ForwardServerTest::raise));
    return (ForwardingProtocol)
        Proxy.newProxyInstance(
            ForwardingProtocol.class.getClassLoader(),
            new Class<?>[] {ForwardingProtocol.class},
            (proxy, method, arguments) -> {
              failures.getOrDefault(method.getName(), () -> {}).run();
              return method.getName().equals("parametersOf") ? parameters() : null;
            });
  }

  private static void raise(Error failure) {
    throw failure;
  }

  private static CallerParameters parameters() {
    return new CallerParameters(
        "attempt-1",
        OptionalLong.empty(),
        0,
        0,
        OptionalInt.empty(),
        OptionalInt.empty(),
        Optional.empty(),
        List.of(),
        Optional.empty());
  }
}
