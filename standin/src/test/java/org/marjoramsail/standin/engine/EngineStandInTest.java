package org.marjoramsail.standin.engine;

import static org.assertj.core.api.Assertions.assertThat;
import static org.marjoramsail.standin.engine.EngineClient.attempt;
import static org.marjoramsail.standin.engine.EngineClient.await;
import static org.marjoramsail.standin.engine.EngineClient.decode;
import static org.marjoramsail.standin.engine.EngineClient.source;

import io.vertx.core.Vertx;
import io.vertx.core.json.JsonObject;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.marjoramsail.core.model.UpstreamRole;

final class EngineStandInTest {

  private static final double SCALE = 20;
  private static final String PROMPT = "el vecino reclama por la vereda rota de su cuadra";

  private Vertx vertx;
  private EngineClient client;
  private EngineStandIn prefill;
  private EngineStandIn decode;
  private int prefillPort;
  private int decodePort;

  @BeforeEach
  void startEngines() throws Exception {
    vertx = Vertx.vertx();
    client = new EngineClient(vertx);
    prefill = engine("prefill-1", UpstreamRole.PREFILL);
    decode = engine("decode-1", UpstreamRole.DECODE);
    prefillPort = await(prefill.start());
    decodePort = await(decode.start());
  }

  private EngineStandIn engine(String name, UpstreamRole role) {
    EngineTimings timings = EngineTimings.defaults().scaled(SCALE);
    return new EngineStandIn(
        vertx,
        EngineSettings.of(name, role, "lector", timings),
        () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime()),
        new SplittableRandom(1));
  }

  @AfterEach
  void stopEngines() throws Exception {
    await(vertx.close());
  }

  private String handle(String request) throws Exception {
    EngineClient.Answer read =
        await(client.post(prefillPort, "/v1/prefill", attempt(request, PROMPT)));
    assertThat(read.status()).isEqualTo(200);
    return read.body().getString("handle");
  }

  @Test
  void aPromptReadOnOneEngineIsCompletedOnAnother() throws Exception {
    // The lifetime of the cache is 40 ms of real time here, so a slow machine may need more tries.
    JsonObject body = decode("r1", PROMPT, 12);
    EngineClient.Answer answer;
    do {
      String handle = handle("r1");
      answer =
          await(client.post(decodePort, "/v1/decode", body.put("kv", source(prefillPort, handle))));
    } while (answer.status() == 410);

    assertThat(answer.status()).isEqualTo(200);
    assertThat(answer.text()).isEqualTo(TokenText.completion(PROMPT, 12));
    assertThat(answer.last().getBoolean("done")).isTrue();
    assertThat(decode.audit().isHoldingNothing()).isTrue();
    assertThat(decode.audit().prefillTokens()).isZero();
  }
}
