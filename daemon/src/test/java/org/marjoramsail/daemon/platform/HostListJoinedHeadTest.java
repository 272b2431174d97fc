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
import org.marjoramsail.standin.network.JoinedHeadStandIn;
import org.marjoramsail.standin.network.JoinedHeadStandIn.Break;

/** A platform whose list of hosts breaks off, where another response continues it. */
@Timeout(60)
final class HostListJoinedHeadTest {

  private static final String ADDRESS = "127.0.0.1";
  private static final int REQUESTS = 4;

  private final Vertx vertx = Vertx.vertx();

  @AfterEach
  void close() {
    Waits.get(vertx.close());
  }

  /** Guards against the body of a refusal that is read as a list of hosts. */
  @ParameterizedTest
  @EnumSource
  void aListThatAnotherResponseContinuesIsNotHeard(Break place) {
    JoinedHeadStandIn server =
        new JoinedHeadStandIn(vertx, place, 200, 503, "{\"hosts\":[],\"ageMillis\":1}");
    int port = Waits.get(server.start(ADDRESS));
    Queue<HostList> heard = new ConcurrentLinkedQueue<>();
    try (HostListClient client =
        new HostListClient(
            vertx,
            HttpObjectApiSettings.defaults(ADDRESS, port),
            () -> 10,
            new Random(1),
            new SimpleMeterRegistry(),
            heard::add)) {

      client.start();
      Waits.until("the list is asked for again", () -> server.requests() >= REQUESTS);

      assertThat(heard).isEmpty();
    }
  }
}
