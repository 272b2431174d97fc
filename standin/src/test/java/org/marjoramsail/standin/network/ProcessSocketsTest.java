package org.marjoramsail.standin.network;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.io.IOException;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(60)
final class ProcessSocketsTest {

  private static final long PATIENCE_SECONDS = 20;
  private static final long ENDED = Long.MAX_VALUE;

  private final Vertx vertx = Vertx.vertx();

  @AfterEach
  void close() throws Exception {
    await(vertx.close());
  }

  @Test
  void thePortsOfAProcessAreThoseOfItsSockets() throws Exception {
    long self = ProcessHandle.current().pid();
    ProcessSockets sockets = new ProcessSockets(vertx);
    try (ServerSocket open = new ServerSocket(0)) {
      assertThat(await(sockets.portsOf(Set.of(self)))).contains(open.getLocalPort());
      assertThat(await(sockets.portsOf(Set.of(self, ENDED)))).contains(open.getLocalPort());
      assertThat(await(sockets.portsOf(Set.of(ENDED)))).isEmpty();
    }
  }

  /** Guards against a soak that stands still, and sends late, while the tables are read. */
  @Test
  void theEventLoopOfTheCallerGoesOnWhileTheTablesAreRead() throws Exception {
    Context context = vertx.getOrCreateContext();
    CompletableFuture<Void> wentOn = new CompletableFuture<>();
    ProcessSockets sockets =
        new ProcessSockets(
            vertx,
            processes -> {
              context.runOnContext(meanwhile -> wentOn.complete(null));
              awaitWithin(wentOn);
              return Map.of(1L, Set.of(10));
            });
    Promise<Set<Integer>> ports = Promise.promise();

    context.runOnContext(asked -> sockets.portsOf(Set.of(1L)).onComplete(ports));

    assertThat(await(ports.future())).containsExactly(10);
  }

  /** Guards against a reading for each of many connections that are opened together. */
  @Test
  void queriesDuringAReadingShareTheNextOne() throws Exception {
    CompletableFuture<Void> asked = new CompletableFuture<>();
    AtomicInteger readings = new AtomicInteger();
    ProcessSockets sockets =
        new ProcessSockets(
            vertx,
            processes -> {
              awaitWithin(asked);
              int reading = readings.incrementAndGet();
              return Map.of(1L, Set.of(10 + reading), 2L, Set.of(20 + reading));
            });
    List<Future<Set<Integer>>> later = new ArrayList<>();

    Future<Set<Integer>> first = sockets.portsOf(Set.of(1L, 2L));
    for (int query = 0; query < 20; query++) {
      later.add(sockets.portsOf(Set.of(1L + query % 2)));
    }
    asked.complete(null);

    assertThat(await(first)).containsExactlyInAnyOrder(11, 21);
    for (int query = 0; query < later.size(); query++) {
      assertThat(await(later.get(query))).containsExactly(query % 2 == 0 ? 12 : 22);
    }
    assertThat(readings).hasValue(2);
  }

  @Test
  void aReadingThatFailsIsFollowedByTheNextOne() throws Exception {
    AtomicInteger readings = new AtomicInteger();
    ProcessSockets sockets =
        new ProcessSockets(
            vertx,
            processes -> {
              if (readings.incrementAndGet() == 1) {
                throw new IOException("refused by a test");
              }
              return Map.of(1L, Set.of(10));
            });

    Future<Set<Integer>> failing = sockets.portsOf(Set.of(1L));

    assertThat(await(failing.otherwise(Set.of()))).isEmpty();
    assertThat(failing.failed()).isTrue();
    assertThat(await(sockets.portsOf(Set.of(1L)))).containsExactly(10);
  }

  private static void awaitWithin(CompletableFuture<Void> event) throws IOException {
    try {
      event.get(PATIENCE_SECONDS, TimeUnit.SECONDS);
    } catch (Exception missing) {
      throw new IOException("not seen while the tables were read", missing);
    }
  }

  private static <T> T await(Future<T> future) throws Exception {
    return future.toCompletionStage().toCompletableFuture().get(PATIENCE_SECONDS, TimeUnit.SECONDS);
  }
}
