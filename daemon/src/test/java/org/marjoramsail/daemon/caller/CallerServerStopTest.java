package org.marjoramsail.daemon.caller;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.marjoramsail.daemon.fixture.AcceptQueue;
import org.marjoramsail.daemon.fixture.CallerPath;
import org.marjoramsail.daemon.fixture.Waits;

@Timeout(60)
final class CallerServerStopTest {

  private static final int CALLERS = 40;
  private static final String REQUEST =
      "GET /v1/completions HTTP/1.1\r\nhost: desk\r\nconnection: close\r\n\r\n";
  private static final CallerLimits LIMITS =
      new CallerLimits(2 * CALLERS, 2_048, 4_096, 10_000, 10_000, 64 * 1024, 10_000, 1_000_000, 16);

  private final Vertx vertx = Vertx.vertx();
  private final CallerPath path = new CallerPath(vertx, LIMITS, List.of());

  @AfterEach
  void close() {
    path.close();
  }

  /** Guards against a reset of connections that wait in the accept queue as the server stops. */
  @Test
  void aServerThatStopsRefusesAllConnectionsInItsAcceptQueueWithAResponse() throws Exception {
    try (AcceptQueue first = new AcceptQueue(vertx)) {
      first.add(1, path.port(), REQUEST).release().results();
    }

    try (AcceptQueue queue = new AcceptQueue(vertx)) {
      queue.add(CALLERS, path.port(), REQUEST);
      Future<Integer> stopped = path.server().stop(1, 10_000);
      queue.awaitClose().release();

      assertThat(queue.results()).hasSize(CALLERS).containsOnly("HTTP/1.1 503 Service Unavailable");
      assertThat(Waits.get(stopped)).isZero();
    }
  }
}
