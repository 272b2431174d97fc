package org.marjoramsail.standin.plain;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.client.HttpResponse;
import io.vertx.ext.web.client.WebClient;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

final class PlainServiceStandInTest {

  private static final int PATIENCE_SECONDS = 20;
  private static final int TRIES = 20_000;
  private static final String LOOPBACK = "127.0.0.1";

  /** So slow that nothing which was begun ends within the test. */
  private static final double STANDSTILL = 1e6;

  private static Vertx vertx;
  private static WebClient client;

  private PlainServiceStandIn service;
  private int port;

  @BeforeAll
  static void startVertx() {
    vertx = Vertx.vertx();
    client = WebClient.create(vertx);
  }

  @AfterAll
  static void stopVertx() throws Exception {
    await(vertx.close());
  }

  @BeforeEach
  void startService() throws Exception {
    service =
        new PlainServiceStandIn(
            vertx,
            PlainSettings.of("votacion-1").withLimits(1, 1, 1),
            () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime()),
            new SplittableRandom(1));
    port = await(service.start());
  }

  @AfterEach
  void stopService() throws Exception {
    await(service.stop());
  }

  private static <T> T await(Future<T> future) throws Exception {
    return future.toCompletionStage().toCompletableFuture().get(PATIENCE_SECONDS, TimeUnit.SECONDS);
  }

  private Future<HttpResponse<Buffer>> cast(String request, String ballot) {
    return client
        .post(port, LOOPBACK, "/ballots")
        .putHeader("marjoramsail-request", request)
        .sendJsonObject(new JsonObject().put("ballot", ballot));
  }

  private JsonObject status() throws Exception {
    return await(client.get(port, LOOPBACK, "/-/status").send()).bodyAsJsonObject();
  }

  private void until(Callable<Boolean> condition) throws Exception {
    for (int i = 0; i < TRIES && !condition.call(); i++) {
      status();
    }
    assertThat(condition.call()).isTrue();
  }

  @Test
  void eachRunIsCountedByRequestAndByBallot() throws Exception {
    await(cast("r1", "b1"));
    HttpResponse<Buffer> second = await(cast("r2", "b1"));

    assertThat(second.bodyAsJsonObject().getInteger("runs")).isEqualTo(2);
    assertThat(service.audit().runsByRequest()).containsEntry("r1", 1).containsEntry("r2", 1);
    assertThat(service.audit().runsByReference()).containsEntry("b1", 2);
    assertThat(service.audit().doubledReferences()).isEqualTo(1);
  }

  @Test
  void aRequestWithoutABodyRuns() throws Exception {
    HttpResponse<Buffer> answer = await(client.get(port, LOOPBACK, "/status/b1").send());

    assertThat(answer.statusCode()).isEqualTo(200);
    assertThat(service.audit().runs()).isEqualTo(1);
  }

  @Test
  void aCrashBeforeTheRunLeavesNoTrace() throws Exception {
    service.failNext(PlainFault.CRASH_BEFORE_RUN);

    assertThatThrownBy(() -> await(cast("r1", "b1"))).isNotNull();

    assertThat(service.audit().runs()).isZero();
    assertThat(service.audit().crashes()).isEqualTo(1);
    await(service.restart());
    assertThat(await(cast("r2", "b1")).statusCode()).isEqualTo(200);
    assertThat(status().getLong("incarnation")).isEqualTo(2);
  }

  @Test
  void aCrashAfterTheRunLosesOnlyTheAnswer() throws Exception {
    service.failNext(PlainFault.CRASH_AFTER_RUN);

    assertThatThrownBy(() -> await(cast("r1", "b1"))).isNotNull();

    assertThat(service.audit().runsByReference()).containsEntry("b1", 1);
    assertThat(service.audit().answersLost()).isEqualTo(1);
  }

  @Test
  void aLostAnswerLeavesTheServiceUp() throws Exception {
    service.failNext(PlainFault.ANSWER_LOST);

    assertThatThrownBy(() -> await(cast("r1", "b1"))).isNotNull();

    assertThat(await(cast("r2", "b1")).bodyAsJsonObject().getInteger("runs")).isEqualTo(2);
    assertThat(service.audit().crashes()).isZero();
  }

  @Test
  void aRefusedRequestIsMarkedAsNotRun() throws Exception {
    service.refuse(true);
    HttpResponse<Buffer> refused = await(cast("r1", "b1"));
    service.refuse(false);
    service.leave();
    HttpResponse<Buffer> leaving = await(cast("r2", "b1"));
    service.comeBack();

    assertThat(refused.statusCode()).isEqualTo(503);
    assertThat(refused.getHeader("marjoramsail-run")).isEqualTo("not-run");
    assertThat(leaving.bodyAsJsonObject().getString("reason")).isEqualTo("leaving");
    assertThat(service.audit().runs()).isZero();
    assertThat(await(cast("r3", "b1")).statusCode()).isEqualTo(200);
  }

  @Test
  void callsAboveTheSlotsWaitAndThenAreRefused() throws Exception {
    service.slowDown(STANDSTILL);
    Future<HttpResponse<Buffer>> running = cast("r1", "b1");
    until(() -> service.audit().held() == 1);
    Future<HttpResponse<Buffer>> waiting = cast("r2", "b2");
    until(() -> service.audit().held() == 2);

    HttpResponse<Buffer> refused = await(cast("r3", "b3"));

    assertThat(refused.bodyAsJsonObject().getString("reason")).isEqualTo("full");
    assertThat(service.audit().overCommitments()).isEqualTo(1);
    assertThat(running.isComplete() || waiting.isComplete()).isFalse();
  }

  @Test
  void aStalledServiceAnswersOnceTheStallIsOver() throws Exception {
    service.stall(50);

    assertThat(await(cast("r1", "b1")).statusCode()).isEqualTo(200);
  }
}
