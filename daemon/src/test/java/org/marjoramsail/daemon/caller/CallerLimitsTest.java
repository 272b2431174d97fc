package org.marjoramsail.daemon.caller;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Vertx;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetSocket;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.marjoramsail.core.model.UpstreamRole;
import org.marjoramsail.daemon.fixture.CallerPath;
import org.marjoramsail.daemon.fixture.Callers;
import org.marjoramsail.daemon.fixture.FakeEngine;
import org.marjoramsail.daemon.fixture.Waits;

final class CallerLimitsTest {

  /** Exceeds the time that a client on a busy machine needs to send a request. */
  private static final long REQUEST_TIMEOUT_MILLIS = 60_000;

  private static final CallerLimits LIMITS =
      new CallerLimits(
          4,
          2_048,
          4_096,
          REQUEST_TIMEOUT_MILLIS,
          REQUEST_TIMEOUT_MILLIS,
          64 * 1024,
          300,
          1_000_000,
          16);

  /**
   * Exceeds all waiting times of these tests, so that an engine whose reader reads nothing does not
   * fail first on a busy machine.
   */
  private static final long ENGINE_TIMEOUT_MILLIS = 60_000;

  private final Vertx vertx = Vertx.vertx();
  private final NetClient client = vertx.createNetClient();
  private final FakeEngine decode = new FakeEngine(vertx, "decode-1", UpstreamRole.DECODE);
  private CallerPath path;
  private Callers callers;

  @BeforeEach
  void start() {
    decode.start();
    path =
        new CallerPath(
            vertx, LIMITS, List.of(decode.definition("asistente")), ENGINE_TIMEOUT_MILLIS);
    callers = new Callers(path.port());
  }

  @AfterEach
  void stop() {
    path.close();
  }

  private HttpResponse<String> completion(String body) {
    return callers.send(
        callers.request("/v1/completions").POST(HttpRequest.BodyPublishers.ofString(body)).build());
  }

  private NetSocket connect() {
    return Waits.get(client.connect(path.port(), "127.0.0.1"));
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "{\"model\":|The body is not JSON",
        "[]|The field body is []; allowed: an object.",
        "{\"prompt\":\"a\"}|The field model is missing; allowed: the name of a service.",
        "{\"model\":\"asistente\",\"prompt\":7}|The field prompt is 7; allowed: a string",
        "{\"model\":\"asistente\",\"prompt\":\"a\",\"max_tokens\":0}|max_tokens is 0; allowed: an",
        "{\"model\":\"asistente\",\"prompt\":\"a\",\"stream\":\"x\"}|allowed: true or false.",
      })
  void aMalformedBodyIsRefusedWithFieldValueAndAllowedValues(String body, String detail) {
    HttpResponse<String> response = completion(body);

    assertThat(response.statusCode()).isEqualTo(400);
    assertThat(response.headers().firstValue("content-type")).contains("application/problem+json");
    assertThat(response.body().replace("\\\"", "\""))
        .contains(detail)
        .contains("malformed-request");
  }

  @Test
  void anUnknownServiceIsRefusedWithTheExistingServices() {
    HttpResponse<String> response = completion("{\"model\":\"asistent\",\"prompt\":\"a\"}");

    assertThat(response.statusCode()).isEqualTo(404);
    assertThat(response.body()).contains("allowed: asistente");
  }

  @Test
  void aTokenOfNoOrganisationIsRefused() {
    HttpRequest request =
        HttpRequest.newBuilder(
                java.net.URI.create("http://127.0.0.1:" + path.port() + "/v1/completions"))
            .header("authorization", "Bearer other")
            .POST(HttpRequest.BodyPublishers.ofString("{}"))
            .build();

    assertThat(callers.send(request).statusCode()).isEqualTo(401);
  }

  /** Guards against memory exhaustion by a body without end. */
  @Test
  void aBodyOverTheLimitIsRefusedBeforeItIsFullyRead() {
    HttpResponse<String> response = completion("x".repeat(LIMITS.maximumBodyBytes() + 1));

    assertThat(response.statusCode()).isEqualTo(413);
    assertThat(path.count("requests.refused", "reason", "body-too-large", "run", "not-run"))
        .isEqualTo(1);
  }

  /** Guards against memory exhaustion by headers without end. */
  @Test
  void headersOverTheLimitAreRefused() {
    HttpRequest request =
        callers.request("/v1/completions").header("x-flood", "x".repeat(4_096)).GET().build();

    assertThat(callers.send(request).statusCode()).isEqualTo(431);
  }

  /** Opens a connection that requests many tokens and never reads; its socket buffer is small. */
  private Socket stalledReader(int tokens) throws IOException {
    Socket socket = new Socket();
    socket.setReceiveBufferSize(4_096);
    socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), path.port()));
    String body =
        "{\"model\":\"asistente\",\"prompt\":\"a\",\"stream\":true,\"max_tokens\":" + tokens + "}";
    String request =
        "POST /v1/completions HTTP/1.1\r\nhost: a\r\nauthorization: Bearer "
            + CallerPath.TOKEN
            + "\r\ncontent-length: "
            + body.length()
            + "\r\n\r\n"
            + body;
    socket.getOutputStream().write(request.getBytes(StandardCharsets.UTF_8));
    return socket;
  }

  /**
   * Guards against a reader that reads nothing: its output would accumulate without limit, its
   * engine slot would stay taken, and the close would wait behind the unread bytes.
   */
  @Test
  void aStalledReaderIsDisconnectedAndOtherCallersAreServed() throws IOException {
    try (Socket reader = stalledReader(100_000)) {
      Waits.until(
          "the reader is disconnected",
          () -> path.count("requests.refused", "reason", "slow-reader", "run", "unknown") == 1);
      assertThat(callers.send(callers.completion("asistente", 2, false)).statusCode())
          .isEqualTo(200);
      Waits.until("the request has ended", () -> path.registry().size() == 0);
      Waits.until("the engine holds no attempt", () -> decode.held().isEmpty());
      Waits.until("its connection is closed", () -> path.server().openConnections() <= 1);
      assertThat(reader.isConnected()).isTrue();
    }
  }

  /** Guards against engine slots that stay taken by requests of disconnected callers. */
  @Test
  void aDisconnectedCallerFreesTheEngine() {
    decode.then(FakeEngine.Step.STALL_AFTER_THREE);
    NetSocket socket = connect();
    String body = "{\"model\":\"asistente\",\"prompt\":\"a\",\"max_tokens\":9,\"stream\":true}";
    AtomicReference<String> response = new AtomicReference<>("");
    socket.handler(bytes -> response.updateAndGet(text -> text + bytes));
    socket.write(
        "POST /v1/completions HTTP/1.1\r\nhost: a\r\nauthorization: Bearer "
            + CallerPath.TOKEN
            + "\r\ncontent-length: "
            + body.length()
            + "\r\n\r\n"
            + body);
    Waits.until("tokens are received", () -> response.get().contains(FakeEngine.truth(2)));
    Waits.get(socket.close());

    Waits.until("the engine is free", () -> decode.held().isEmpty());
    Waits.until("the request has ended", () -> path.registry().size() == 0);
    assertThat(path.placement().ended()).hasSize(1);
  }

  /** Guards against a planned stop that breaks running streams. */
  @Test
  void aStopFinishesRunningRequestsAndRefusesNewOnes() {
    path.placement().hold();
    NetSocket socket = connect();
    socket.write(
        "POST /v1/completions HTTP/1.1\r\nhost: a\r\nauthorization: Bearer "
            + CallerPath.TOKEN
            + "\r\ncontent-length: 36\r\n\r\n{\"model\":\"asistente\",\"prompt\":\"a b\"}");
    Waits.until("the request waits for placement", () -> path.placement().placed().size() == 1);
    var stopped = path.server().stop(1, 10_000);
    Waits.until("new requests are refused", () -> path.server().phase() == StopPhase.FINISHING);

    assertThat(callers.send(callers.completion("asistente", 2, false)).body())
        .contains("stopping")
        .contains("not-run");
    assertThat(path.registry().size()).isEqualTo(1);
    Waits.get(socket.close());
    assertThat(Waits.get(stopped)).isZero();
    assertThat(path.server().phase()).isEqualTo(StopPhase.CLOSED);
  }
}
