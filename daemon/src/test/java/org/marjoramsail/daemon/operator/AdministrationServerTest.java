package org.marjoramsail.daemon.operator;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.client.HttpRequest;
import io.vertx.ext.web.client.HttpResponse;
import io.vertx.ext.web.client.WebClient;
import io.vertx.ext.web.client.WebClientOptions;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.marjoramsail.daemon.settings.AdministrationSettings;
import org.marjoramsail.daemon.settings.Endpoint;
import org.marjoramsail.daemon.settings.OperatorRole;
import org.marjoramsail.daemon.settings.OperatorToken;
import org.marjoramsail.daemon.settings.TlsSettings;

class AdministrationServerTest {

  private static final int REQUESTS_PER_SECOND = 5;
  private static final int BODY_BYTES = 1024;
  private static final Path FILES =
      Path.of("src", "test", "resources", "org", "marjoramsail", "daemon", "operator");

  private final Vertx vertx = Vertx.vertx();
  private OperatorFixture fixture;
  private Optional<String> notReady = Optional.empty();

  @BeforeEach
  void start() throws Exception {
    fixture = new OperatorFixture();
  }

  @AfterEach
  void stop() throws Exception {
    await(vertx.close());
  }

  @Test
  void aStatementOverHttpIsAnsweredAsJsonOrAsText() throws Exception {
    WebClient client = client(Optional.empty());
    JsonObject body = new JsonObject().put("text", "show revision");

    HttpResponse<Buffer> json =
        await(request(client, HttpMethod.POST, "/admin/v1/statements").sendJsonObject(body));
    HttpResponse<Buffer> text =
        await(
            request(client, HttpMethod.POST, "/admin/v1/statements")
                .putHeader("accept", "text/plain")
                .sendJsonObject(body));

    assertThat(json.statusCode()).isEqualTo(200);
    assertThat(json.bodyAsJsonObject().getJsonArray("rows").getJsonObject(0).getInteger("revision"))
        .isEqualTo(7);
    assertThat(text.bodyAsString()).startsWith("host     source  revision");
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      quoteCharacter = '`',
      value = {
        "{\"text\":\"shwo x\"} | malformed | did you mean show?",
        "{\"txt\":\"show shards\"} | malformed | did you mean text?",
        "{\"text\":7} | malformed | a JSON string",
        "{\"text\":\"show shards\",\"baseRevision\":1.5} | malformed | a JSON number",
        "{\"text\":\"show shards\",\"order\":\" \"} | malformed | a JSON string",
        "{\"text\": | malformed | one JSON object",
        "[] | malformed | one JSON object",
        "{\"text\":\"delete rule balots\"} | not-found | did you mean ballots?",
        "{\"text\":\"change rule ballots with service = lost\"} | invalid | lost",
      })
  void aBadStatementIsAProblemThatNamesTheFieldAndWhatIsAllowed(
      String body, String reason, String detail) throws Exception {
    HttpResponse<Buffer> response =
        await(
            request(client(Optional.empty()), HttpMethod.POST, "/admin/v1/statements")
                .sendBuffer(Buffer.buffer(body)));

    assertThat(response.getHeader("content-type")).isEqualTo("application/problem+json");
    JsonObject problem = response.bodyAsJsonObject();
    assertThat(problem.getString("reason")).isEqualTo(reason);
    assertThat(problem.getInteger("status")).isEqualTo(response.statusCode());
    assertThat(problem.getString("detail")).contains(detail);
    assertThat(problem.getJsonArray("problems")).isNotEmpty();
  }

  @ParameterizedTest
  @CsvSource({
    "GET, /admin/v1/requests?organisation=comuna-maipu, 200",
    "GET, /admin/v1/requests/some-request, 200",
    "GET, /admin/v1/requests?organization=x, 400",
    "GET, /admin/v1/request, 404",
    "GET, /admin/v1/elsewhere, 404",
    "DELETE, /admin/v1/rules/ballots?dryRun=true, 200",
    "DELETE, /admin/v1/rules/ballots?dryRun=perhaps, 400",
    "DELETE, /admin/v1/rulers/ballots, 404",
    "DELETE, /admin/v1/rules/ballots?baseRevision=99, 409",
    "PATCH, /admin/v1/rules/ballots, 404",
  })
  void eachPathIsServedOrRefusedWithItsStatus(String method, String path, int status)
      throws Exception {
    HttpResponse<Buffer> response =
        await(request(client(Optional.empty()), HttpMethod.valueOf(method), path).send());

    assertThat(response.statusCode()).isEqualTo(status);
    assertThat(fixture.stored().revision()).isEqualTo(1);
  }

  @Test
  void anObjectIsPutWholeAndTheSameOrderAgainChangesNothing() throws Exception {
    WebClient client = client(Optional.empty());
    JsonObject service = new JsonObject().put("kind", "PLAIN");
    String path = "/admin/v1/services/avisos?order=avisos-1";

    HttpResponse<Buffer> first =
        await(request(client, HttpMethod.PUT, path).sendJsonObject(service));
    HttpResponse<Buffer> again =
        await(request(client, HttpMethod.PUT, path).sendJsonObject(service));

    assertThat(first.bodyAsJsonObject().getInteger("revision")).isEqualTo(2);
    assertThat(again.bodyAsJsonObject()).isEqualTo(first.bodyAsJsonObject());
    assertThat(fixture.stored().service("avisos")).isPresent();
  }

  @Test
  void nobodyGetsInWithoutAKnownToken() throws Exception {
    WebClient client = client(Optional.empty());

    for (String header : List.of("", "Bearer ", "Bearer guess", "Basic token-ana", "token-ana")) {
      HttpResponse<Buffer> response =
          await(client.get("/admin/v1/shards").putHeader("authorization", header).send());
      assertThat(response.statusCode()).isEqualTo(401);
    }
  }

  @Test
  void aTokenThatAsksTooOftenIsRefusedUntilTimeHasPassed() throws Exception {
    WebClient client = client(Optional.empty());
    for (int number = 0; number < REQUESTS_PER_SECOND; number++) {
      await(request(client, HttpMethod.GET, "/admin/v1/shards").send());
    }

    int refused = await(request(client, HttpMethod.GET, "/admin/v1/shards").send()).statusCode();
    fixture.clock.advance(1_000);
    int later = await(request(client, HttpMethod.GET, "/admin/v1/shards").send()).statusCode();

    assertThat(refused).isEqualTo(429);
    assertThat(later).isEqualTo(200);
  }

  @Test
  void aBodyOverTheLimitIsRefused() throws Exception {
    HttpResponse<Buffer> response =
        await(
            request(client(Optional.empty()), HttpMethod.POST, "/admin/v1/statements")
                .sendBuffer(Buffer.buffer(" ".repeat(BODY_BYTES + 1))));

    assertThat(response.statusCode()).isEqualTo(413);
    assertThat(response.bodyAsJsonObject().getString("reason")).isEqualTo("too-large");
  }

  @Test
  void metricsHealthAndTheDescriptionNeedNoToken() throws Exception {
    WebClient client = client(Optional.empty());
    notReady = Optional.of("stopping");

    assertThat(await(client.get("/health/live").send()).statusCode()).isEqualTo(200);
    assertThat(await(client.get("/health/ready").send()).bodyAsString()).isEqualTo("stopping\n");
    assertThat(await(client.get("/health/ready").send()).statusCode()).isEqualTo(503);
    assertThat(await(client.get("/metrics").send()).bodyAsString()).isEqualTo("up 1\n");
    assertThat(await(client.get("/admin/v1/openapi.json").send()).bodyAsJsonObject().getMap())
        .containsKey("paths");
  }

  @Test
  void operatorsConnectByTlsWhereTheSettingsSaySo() throws Exception {
    TlsSettings.KeyFiles files =
        new TlsSettings.KeyFiles(
            FILES.resolve("test-certificate.pem").toString(),
            FILES.resolve("test-key.pem").toString());

    HttpResponse<Buffer> response = await(client(Optional.of(files)).get("/health/live").send());

    assertThat(response.statusCode()).isEqualTo(200);
  }

  private WebClient client(Optional<TlsSettings.KeyFiles> files) throws Exception {
    Health health =
        new Health() {
          @Override
          public boolean isLive() {
            return true;
          }

          @Override
          public Optional<String> notReady() {
            return notReady;
          }
        };
    AdministrationServer server =
        new AdministrationServer(
            vertx,
            new OperatorListener(new Endpoint("127.0.0.1", 0), files, 0),
            settings(),
            fixture.administration,
            () -> "up 1\n",
            health,
            fixture::nextOrder,
            fixture.clock,
            fixture.meters);
    WebClientOptions options =
        new WebClientOptions().setDefaultHost("127.0.0.1").setDefaultPort(await(server.start()));
    files.ifPresent(present -> options.setSsl(true).setTrustAll(true).setVerifyHost(false));
    return WebClient.create(vertx, options);
  }

  private static AdministrationSettings settings() throws Exception {
    byte[] hash =
        MessageDigest.getInstance("SHA-256").digest("token-ana".getBytes(StandardCharsets.UTF_8));
    OperatorToken token =
        new OperatorToken(
            "ana", HexFormat.of().formatHex(hash), OperatorRole.ADMINISTRATOR, Optional.empty());
    return new AdministrationSettings(List.of(token), REQUESTS_PER_SECOND, BODY_BYTES);
  }

  private static HttpRequest<Buffer> request(WebClient client, HttpMethod method, String path) {
    return client.request(method, path).putHeader("authorization", "Bearer token-ana");
  }

  private static <T> T await(Future<T> future) throws Exception {
    return future.toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
  }
}
