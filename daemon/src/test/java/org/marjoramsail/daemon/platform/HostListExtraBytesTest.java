package org.marjoramsail.daemon.platform;

import static org.assertj.core.api.Assertions.assertThat;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.vertx.core.Vertx;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.ConcurrentLinkedQueue;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.marjoramsail.daemon.fixture.Waits;
import org.marjoramsail.standin.network.ExtraBytesStandIn;
import org.marjoramsail.standin.network.ExtraBytesStandIn.Extra;

/** A platform that sends something behind a list of hosts, on a connection that is kept. */
@Timeout(60)
final class HostListExtraBytesTest {

  private static final String ADDRESS = "127.0.0.1";

  /** More than the first list and all calls that may fail with its connection. */
  private static final int REQUESTS = 4;

  /** Keeps the client from asking again before the extra bytes are sent. */
  private static final long LATER_MILLIS = 1_000_000;

  private final Vertx vertx = Vertx.vertx();

  @AfterEach
  void close() {
    Waits.get(vertx.close());
  }

  /** Guards against extra bytes that are read as a part of the next list of hosts. */
  @ParameterizedTest
  @EnumSource(mode = EnumSource.Mode.MATCH_ANY, names = ".*SUCCESS")
  void aRefusedCallTellsOfNoList(Extra extra) {
    ExtraBytesStandIn server = new ExtraBytesStandIn(vertx, extra, list(1), list(2), list(3));
    int port = Waits.get(server.start(ADDRESS));
    Queue<Long> heard = new ConcurrentLinkedQueue<>();
    try (HostListClient client =
        new HostListClient(
            vertx,
            HttpObjectApiSettings.defaults(ADDRESS, port),
            () -> server.extraSent().isComplete() ? 10 : LATER_MILLIS,
            new Random(1),
            new SimpleMeterRegistry(),
            list -> heard.add(list.ageMillis()))) {

      client.start();
      Waits.until("the list is asked for again", () -> server.requests() >= REQUESTS);

      assertThat(heard).containsExactly(1L);
    }
  }

  private static String list(int ageMillis) {
    return "{\"hosts\":[],\"ageMillis\":" + ageMillis + "}";
  }
}
