package org.marjoramsail.standin.engine;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.marjoramsail.standin.engine.EngineClient.attempt;
import static org.marjoramsail.standin.engine.EngineClient.await;
import static org.marjoramsail.standin.engine.EngineClient.decode;
import static org.marjoramsail.standin.engine.EngineClient.source;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.json.JsonObject;
import java.net.URI;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.marjoramsail.core.model.UpstreamRole;
import org.marjoramsail.core.placement.PrefixHasher;

final class EngineStandInTest {

  private static final String PROMPT = "el vecino reclama por la vereda rota de su cuadra";
  private static final String LOOPBACK = "127.0.0.1";
  private static final int TRIES = 20_000;

  /** So slow that nothing which was begun ends within the test. */
  private static final double STANDSTILL = 1e7;

  /** Quick steps; reports and cache events without lag or loss; a cache that outlives the test. */
  private static final EngineTimings TIMINGS =
      new EngineTimings(
          1, 1, 500, 10, 100_000, 2_048, 512, 3_600_000, 6_250_000_000L, 1, 0, 0, 0, 1, 1, 1, 10);

  private static Vertx vertx;
  private static HttpClient httpClient;
  private static EngineClient client;

  private EngineStandIn prefill;
  private EngineStandIn decode;
  private int prefillPort;
  private int decodePort;

  @BeforeAll
  static void startVertx() {
    vertx = Vertx.vertx();
    httpClient = vertx.createHttpClient();
    client = new EngineClient(vertx);
  }

  @AfterAll
  static void stopVertx() throws Exception {
    await(vertx.close());
  }

  @BeforeEach
  void startEngines() throws Exception {
    prefill = engine(settings("prefill-1", UpstreamRole.PREFILL));
    decode = engine(settings("decode-1", UpstreamRole.DECODE));
    prefillPort = await(prefill.start());
    decodePort = await(decode.start());
  }

  private static EngineSettings settings(String name, UpstreamRole role) {
    return EngineSettings.of(name, role, "lector", TIMINGS);
  }

  private static EngineStandIn engine(EngineSettings settings) {
    return new EngineStandIn(
        vertx,
        settings,
        () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime()),
        new SplittableRandom(1));
  }

  @AfterEach
  void stopEngines() throws Exception {
    await(prefill.stop());
    await(decode.stop());
  }

  private String handle(String request) throws Exception {
    EngineClient.Answer read =
        await(client.post(prefillPort, "/v1/prefill", attempt(request, PROMPT)));
    assertThat(read.status()).isEqualTo(200);
    return read.body().getString("handle");
  }

  /** Waits, one exchange with the decode engine at a time, until something holds. */
  private void until(Callable<Boolean> condition) throws Exception {
    for (int i = 0; i < TRIES && !condition.call(); i++) {
      await(client.get(decodePort, "/v1/status"));
    }
    assertThat(condition.call()).isTrue();
  }

  private EngineClient.Answer order(int port, JsonObject order) throws Exception {
    return await(client.post(port, "/v1/orders", order));
  }

  private static JsonObject order(String name, long token, String kind) {
    return new JsonObject().put("order", name).put("token", token).put("kind", kind);
  }

  @Test
  void aPromptReadOnOneEngineIsCompletedOnAnother() throws Exception {
    JsonObject kv = source(prefillPort, handle("r1"));
    EngineClient.Answer answer =
        await(client.post(decodePort, "/v1/decode", decode("r1", PROMPT, 12).put("kv", kv)));

    int length = TokenText.count(PROMPT, 12);
    assertThat(answer.status()).isEqualTo(200);
    assertThat(answer.text()).isEqualTo(TokenText.completion(PROMPT, 12));
    assertThat(answer.last())
        .isEqualTo(
            new JsonObject()
                .put("request", "r1")
                .put("attempt", 1)
                .put("index", length)
                .put("done", true)
                .put("finishReason", length == 12 ? "length" : "stop")
                .put("promptTokens", 10)
                .put("cachedTokens", 0));
    assertThat(decode.audit().prefillTokens()).isZero();
    assertThat(decode.audit().isHoldingNothing()).isTrue();
    until(() -> prefill.audit().isHoldingNothing());
    assertThat(prefill.audit().wastedTokensInAll()).isZero();
  }

  @Test
  void aDecodeEngineReadsAPromptWithoutKvItself() throws Exception {
    EngineClient.Answer answer =
        await(client.post(decodePort, "/v1/decode", decode("r1", PROMPT, 12)));

    assertThat(answer.text()).isEqualTo(TokenText.completion(PROMPT, 12));
    assertThat(decode.audit().prefillTokens()).isEqualTo(10);
  }

  @Test
  void aCacheThatIsGoneIsReportedAsNotRun() throws Exception {
    JsonObject kv = source(prefillPort, "no-such-handle");
    EngineClient.Answer answer =
        await(client.post(decodePort, "/v1/decode", decode("r1", PROMPT, 12).put("kv", kv)));

    assertThat(answer.status()).isEqualTo(410);
    assertThat(answer.body().getString("reason")).isEqualTo("kv-expired");
    assertThat(answer.body().getString("run")).isEqualTo("not-run");
  }

  @Test
  void aTransferFromADeadEngineIsReportedAsNotRun() throws Exception {
    JsonObject kv = source(prefillPort, handle("r1"));
    await(prefill.crash());
    EngineClient.Answer answer =
        await(client.post(decodePort, "/v1/decode", decode("r1", PROMPT, 12).put("kv", kv)));

    assertThat(answer.status()).isEqualTo(502);
    assertThat(answer.body().getString("reason")).isEqualTo("transfer-failed");
    assertThat(decode.audit().isHoldingNothing()).isTrue();
  }

  @Test
  void aFailingTransferLeavesTheCacheWithItsHolder() throws Exception {
    JsonObject kv = source(prefillPort, handle("r1"));
    prefill.failTransfers(true);
    EngineClient.Answer failed =
        await(client.post(decodePort, "/v1/decode", decode("r1", PROMPT, 12).put("kv", kv)));
    prefill.failTransfers(false);
    EngineClient.Answer again =
        await(
            client.post(
                decodePort,
                "/v1/decode",
                decode("r1", PROMPT, 12).put("kv", kv).put("attempt", 2)));

    assertThat(failed.status()).isEqualTo(502);
    assertThat(again.text()).isEqualTo(TokenText.completion(PROMPT, 12));
  }

  @Test
  void aClientThatDisconnectsFreesItsAttemptAtOnce() throws Exception {
    decode.slowDown(STANDSTILL);
    HttpClientRequest request =
        await(httpClient.request(HttpMethod.POST, decodePort, LOOPBACK, "/v1/decode"));
    request.send(decode("r1", PROMPT, 12).toBuffer());
    until(() -> decode.audit().held() == 1);

    request.reset();

    until(() -> decode.audit().isHoldingNothing());
    assertThat(decode.audit().cancelled()).isEqualTo(1);
  }

  @Test
  void aCancelFreesAnAttemptUnlessTheEngineRefusesCancels() throws Exception {
    decode.slowDown(STANDSTILL);
    var stream = client.post(decodePort, "/v1/decode", decode("r1", PROMPT, 12));
    until(() -> decode.audit().held() == 1);
    decode.refuseCancels(true);
    assertThat(await(client.delete(decodePort, "/v1/attempts/r1/1")).status()).isEqualTo(503);
    assertThat(decode.audit().held()).isEqualTo(1);
    decode.refuseCancels(false);

    EngineClient.Answer freed = await(client.delete(decodePort, "/v1/attempts/r1/1"));

    assertThat(freed.body().getBoolean("freed")).isTrue();
    assertThat(decode.audit().isHoldingNothing()).isTrue();
    assertThat(await(stream).status()).isEqualTo(503);
    assertThat(await(client.delete(decodePort, "/v1/attempts/r1/1")).body().getBoolean("freed"))
        .isFalse();
  }

  @Test
  void theAttemptsOfADaemonsRunAreListedAndCancelledTogether() throws Exception {
    decode.slowDown(STANDSTILL);
    var first = client.post(decodePort, "/v1/decode", decode("r1", PROMPT, 12));
    until(() -> decode.audit().held() == 1);

    JsonObject listed =
        await(client.get(decodePort, "/v1/attempts?daemon=entry-1&incarnation=7")).body();
    assertThat(listed.getJsonArray("attempts").getJsonObject(0))
        .isEqualTo(
            new JsonObject()
                .put("request", "r1")
                .put("attempt", 1)
                .put("daemon", "entry-1")
                .put("incarnation", 7)
                .put("phase", "prefilling"));
    assertThat(
            await(client.get(decodePort, "/v1/attempts?daemon=entry-1&incarnation=8"))
                .body()
                .getJsonArray("attempts"))
        .isEmpty();
    JsonObject cancelled =
        await(client.delete(decodePort, "/v1/attempts?daemon=entry-1&throughIncarnation=7")).body();
    assertThat(cancelled.getInteger("cancelled")).isEqualTo(1);
    assertThat(await(first).status()).isEqualTo(503);
  }

  @Test
  void aCrashedEngineCutsItsStreamsAndComesBackOnItsPortWithAHigherIncarnation() throws Exception {
    decode.slowDown(STANDSTILL);
    var stream = client.post(decodePort, "/v1/decode", decode("r1", PROMPT, 12));
    until(() -> decode.audit().held() == 1);

    await(decode.crash());

    assertThatThrownBy(() -> await(stream)).isNotNull();
    assertThat(decode.audit().isHoldingNothing()).isTrue();
    assertThatThrownBy(() -> await(client.get(decodePort, "/v1/status"))).isNotNull();
    await(decode.restart());
    assertThat(await(client.get(decodePort, "/v1/status")).body().getLong("incarnation"))
        .isEqualTo(2);
  }

  @Test
  void aPoisonousPromptCrashesTheEngineThatRunsIt() throws Exception {
    decode.crashOnPromptContaining(Optional.of("vereda"));

    var stream = client.post(decodePort, "/v1/decode", decode("r1", PROMPT, 12));

    assertThatThrownBy(() -> await(stream)).isNotNull();
    assertThat(decode.audit().crashes()).isEqualTo(1);
  }

  @Test
  void aStalledEngineAnswersOnceTheStallIsOver() throws Exception {
    decode.stall(50);

    EngineClient.Answer answer =
        await(client.post(decodePort, "/v1/decode", decode("r1", PROMPT, 12)));

    assertThat(answer.text()).isEqualTo(TokenText.completion(PROMPT, 12));
  }

  @Test
  void aLeavingEngineSaysSoAndRefusesNewWork() throws Exception {
    await(decode.leave());

    EngineClient.Answer refused =
        await(client.post(decodePort, "/v1/decode", decode("r1", PROMPT, 12)));
    assertThat(refused.status()).isEqualTo(503);
    assertThat(refused.body().getString("reason")).isEqualTo("leaving");
    assertThat(refused.body().getString("run")).isEqualTo("not-run");
    until(() -> await(client.get(decodePort, "/v1/status")).body().getBoolean("leaving"));
  }

  @Test
  void bodiesThatAreNotCompleteAreRefused() throws Exception {
    JsonObject incomplete = new JsonObject().put("request", "r1");

    assertThat(await(client.post(decodePort, "/v1/decode", incomplete)).status()).isEqualTo(400);
    assertThat(await(client.post(prefillPort, "/v1/prefill", incomplete)).status()).isEqualTo(400);
    assertThat(await(client.delete(decodePort, "/v1/attempts")).status()).isEqualTo(400);
    assertThat(order(decodePort, order("o1", 1, "dance")).status()).isEqualTo(400);
    assertThat(order(decodePort, order("o1", 1, "load-model")).status()).isEqualTo(400);
  }

  @Test
  void cacheEventsTellWhichBlocksWereStored() throws Exception {
    String prompt = EngineBench.words("x", 33);
    await(client.post(prefillPort, "/v1/prefill", attempt("r1", prompt)));

    JsonObject page = await(client.get(prefillPort, "/v1/cache-events?after=0")).body();

    assertThat(page.getLong("next")).isEqualTo(2);
    assertThat(page.getJsonArray("events").stream().map(event -> ((JsonObject) event)))
        .allSatisfy(event -> assertThat(event.getString("kind")).isEqualTo("stored"))
        .extracting(event -> event.getLong("hash"))
        .containsExactlyInAnyOrderElementsOf(PrefixHasher.hashes(prompt));
  }

  @Test
  void ordersChangeTheEngineAndStaleOnesAreRefused() throws Exception {
    JsonObject load = order("o1", 5, "load-model").put("model", "redactor").put("version", "2");
    assertThat(order(decodePort, load).status()).isEqualTo(202);
    until(
        () ->
            await(client.get(decodePort, "/v1/status"))
                .body()
                .getString("model")
                .equals("redactor"));

    EngineClient.Answer stale = order(decodePort, order("o2", 4, "leave"));
    assertThat(stale.status()).isEqualTo(409);
    assertThat(stale.body())
        .isEqualTo(new JsonObject().put("reason", "stale-token").put("newest", 5));
    JsonObject listed = await(client.get(decodePort, "/v1/orders")).body();
    assertThat(listed.getJsonArray("orders").getJsonObject(0).getString("state")).isEqualTo("done");
    assertThat(await(client.post(decodePort, "/v1/decode", decode("r1", PROMPT, 12))).status())
        .isEqualTo(404);
  }

  @Test
  void aModelIsFetchedFromTheWeightStoreAndALoadWithoutWeightsFails() throws Exception {
    int storePort =
        await(
                vertx
                    .createHttpServer()
                    .requestHandler(
                        request ->
                            request
                                .response()
                                .setStatusCode(request.path().endsWith("/redactor/2") ? 200 : 404)
                                .end())
                    .listen(0, LOOPBACK))
            .actualPort();
    URI store = URI.create("http://" + LOOPBACK + ":" + storePort);
    EngineStandIn engine = engine(settings("decode-2", UpstreamRole.DECODE).withWeightStore(store));
    int port = await(engine.start());
    order(port, order("o1", 1, "load-model").put("model", "redactor").put("version", "2"));
    order(port, order("o2", 2, "load-model").put("model", "redactor").put("version", "3"));

    until(() -> stateOf(port, 0).equals("done") && stateOf(port, 1).equals("failed"));
    assertThat(engine.audit().ordersDone())
        .extracting(EngineAudit.DoneOrder::order)
        .containsExactly("o1");
  }

  private String stateOf(int port, int index) throws Exception {
    JsonObject listed = await(client.get(port, "/v1/orders")).body();
    return listed.getJsonArray("orders").getJsonObject(index).getString("state");
  }
}
