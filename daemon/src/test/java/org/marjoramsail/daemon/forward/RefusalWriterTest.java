package org.marjoramsail.daemon.forward;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.vertx.core.Future;
import io.vertx.core.MultiMap;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import java.lang.reflect.Proxy;
import java.util.Random;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.marjoramsail.core.failure.Refusal;
import org.marjoramsail.core.failure.RefusalReason;
import org.marjoramsail.daemon.fixture.Waits;

/** Checks what a refusal states to its caller. */
final class RefusalWriterTest {

  private record Answer(int status, MultiMap headers, Buffer body) {}

  private static final String ADDRESS = "127.0.0.1";

  private final Vertx vertx = Vertx.vertx();
  private final HttpClient client = vertx.createHttpClient();
  private final RefusalWriter writer =
      new RefusalWriter(
          protocolWithoutHeaders(),
          new ObjectMapper(),
          new Random(59),
          new ConnectionCloseHeader(() -> false));

  @AfterEach
  void close() {
    Waits.get(vertx.close());
  }

  /** Guards against a retry time in refusals of requests that stay refused for minutes. */
  @ParameterizedTest
  @EnumSource(names = {"QUARANTINED", "PROMPT_PART_QUARANTINED"})
  void aRequestThatIsQuarantinedAndHasNotRunHasNoRetryTime(RefusalReason reason) {
    Answer answer = responseTo(Refusal.notRun(reason, "It crashed two upstreams."));

    assertThat(answer.status()).isEqualTo(503);
    assertThat(answer.headers().get("retry-after")).isNull();
    assertThat(answer.body().toJsonObject().getString("reason")).isEqualTo(reason.code());
  }

  /** Guards against a refusal that states not-run for a request that crashed an upstream. */
  @ParameterizedTest
  @EnumSource(names = {"QUARANTINED", "PROMPT_PART_QUARANTINED"})
  void aRequestThatIsQuarantinedAfterItMayHaveRunIsNotPromisedNotToHaveRun(RefusalReason reason) {
    Answer answer = responseTo(Refusal.unknown(reason, "It crashed two upstreams."));

    assertThat(answer.status()).isEqualTo(502);
    assertThat(answer.headers().get("retry-after")).isNull();
    assertThat(answer.body().toJsonObject().getString("run")).isEqualTo("unknown");
  }

  @Test
  void aRequestThatMayBeServedLaterHasARetryTime() {
    Answer answer = responseTo(Refusal.notRun(RefusalReason.QUEUE_FULL, "The queue is full.", 500));

    assertThat(answer.status()).isEqualTo(503);
    assertThat(Double.parseDouble(answer.headers().get("retry-after"))).isBetween(0.5, 0.7);
  }

  private Answer responseTo(Refusal refusal) {
    HttpServer server =
        Waits.get(
            vertx
                .createHttpServer()
                .requestHandler(caller -> writer.write(caller, "attempt-1", refusal))
                .listen(0, ADDRESS));
    return Waits.get(
        client
            .request(HttpMethod.POST, server.actualPort(), ADDRESS, "/")
            .compose(request -> request.send().compose(RefusalWriterTest::answer)));
  }

  private static Future<Answer> answer(HttpClientResponse response) {
    return response.body().map(body -> new Answer(response.statusCode(), response.headers(), body));
  }

  /** Returns a protocol that adds no header to a response. */
  private static ForwardingProtocol protocolWithoutHeaders() {
    return (ForwardingProtocol)
        Proxy.newProxyInstance(
            ForwardingProtocol.class.getClassLoader(),
            new Class<?>[] {ForwardingProtocol.class},
            (proxy, method, arguments) -> null);
  }
}
