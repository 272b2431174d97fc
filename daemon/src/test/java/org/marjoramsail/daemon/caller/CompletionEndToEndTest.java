package org.marjoramsail.daemon.caller;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Vertx;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.marjoramsail.core.model.UpstreamRole;
import org.marjoramsail.daemon.fixture.CallerPath;
import org.marjoramsail.daemon.fixture.Callers;
import org.marjoramsail.daemon.fixture.FakeEngine;
import org.marjoramsail.daemon.fixture.Waits;

final class CompletionEndToEndTest {

  private final Vertx vertx = Vertx.vertx();
  private FakeEngine prefill;
  private FakeEngine decode;
  private CallerPath path;
  private Callers callers;

  @BeforeEach
  void start() {
    prefill = new FakeEngine(vertx, "prefill-1", UpstreamRole.PREFILL).start();
    decode = new FakeEngine(vertx, "decode-1", UpstreamRole.DECODE).start();
    path =
        new CallerPath(
            vertx,
            CallerLimits.defaults(),
            List.of(prefill.definition("asistente"), decode.definition("asistente")));
    callers = new Callers(path.port());
  }

  @AfterEach
  void stop() {
    path.close();
  }

  @Test
  void aStreamedCompletionIsPrefilledAndDecoded() {
    HttpResponse<String> response = callers.send(callers.completion("asistente", 4, true));

    assertThat(response.statusCode()).isEqualTo(200);
    assertThat(response.headers().firstValue("content-type")).contains("text/event-stream");
    IntStream.range(0, 4)
        .forEach(index -> assertThat(response.body()).containsOnlyOnce(FakeEngine.truth(index)));
    assertThat(response.body()).endsWith("data: [DONE]\n\n");
    assertThat(prefill.prefills()).hasSize(1);
    assertThat(decode.decodes().get(0).getJsonObject("kv").getString("handle")).isEqualTo("kv-1");
    Waits.until("the request has ended", () -> path.registry().size() == 0);
    assertThat(path.placement().ended()).hasSize(1);
  }

  @Test
  void aBufferedCompletionIsOneDocumentWithItsUsage() {
    HttpResponse<String> response = callers.send(callers.completion("asistente", 3, false));

    assertThat(response.statusCode()).isEqualTo(200);
    assertThat(response.headers().firstValue("marjoramsail-request")).isPresent();
    assertThat(response.body())
        .contains("\"text\":\"" + FakeEngine.truthOf(3) + "\"")
        .contains("\"completion_tokens\":3")
        .contains("\"prompt_tokens\":3");
  }
}
