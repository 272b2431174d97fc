package org.marjoramsail.daemon.platform;

import static org.assertj.core.api.Assertions.assertThat;

import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.vertx.core.Vertx;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.ConcurrentLinkedQueue;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.marjoramsail.daemon.fixture.Waits;

/** A platform that answers with something else than a list of hosts. */
@Timeout(60)
final class HostListMalformedTest {

  private static final String ADDRESS = "127.0.0.1";
  private static final int CALLS = 2;

  private final Vertx vertx = Vertx.vertx();

  @AfterEach
  void close() {
    Waits.get(vertx.close());
  }

  /** Guards against hosts that are all dropped because an answer does not tell of any. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "{}",
        "{\"ageMillis\":1}",
        "{\"hosts\":null}",
        "{\"hosts\":1}",
        "[]",
        "null",
        " null\n",
        "\"\"",
        "\"hosts\"",
        "1",
        ""
      })
  void anAnswerWithoutHostsIsNoList(String body) {
    int port =
        Waits.get(
                vertx
                    .createHttpServer()
                    .requestHandler(request -> request.response().end(body))
                    .listen(0, ADDRESS))
            .actualPort();
    MeterRegistry meters = new SimpleMeterRegistry();
    Queue<HostList> heard = new ConcurrentLinkedQueue<>();
    try (HostListClient client =
        new HostListClient(
            vertx,
            HttpObjectApiSettings.defaults(ADDRESS, port),
            () -> 10,
            new Random(1),
            meters,
            heard::add)) {

      client.start();
      Waits.until(
          "calls end", () -> calls(meters, "ok") >= CALLS || calls(meters, "failed") >= CALLS);

      assertThat(heard).isEmpty();
      assertThat(calls(meters, "ok")).isZero();
    }
  }

  private static double calls(MeterRegistry meters, String result) {
    return meters.counter("marjoramsail.platform.hostlist.calls", "result", result).count();
  }
}
