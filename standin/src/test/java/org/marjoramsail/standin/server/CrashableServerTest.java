package org.marjoramsail.standin.server;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

final class CrashableServerTest {

  private static final int PATIENCE_SECONDS = 20;
  private static final int RESTARTS = 2_000;

  private final Vertx vertx = Vertx.vertx();

  @AfterEach
  void closeVertx() throws Exception {
    await(vertx.close());
  }

  /** Guards against a restart that fails since the port of the closed server is still in use. */
  @Test
  void aRestartThatFollowsACrashAtOnceListensOnItsPort() throws Exception {
    Context context = vertx.getOrCreateContext();
    CrashableServer server =
        new CrashableServer(
            vertx, new ScaledTime(System::nanoTime, 1), "127.0.0.1", 0, request -> {});
    int port = await(onContext(context, server::listen));

    for (int restart = 0; restart < RESTARTS; restart++) {
      Future<Integer> listening =
          onContext(
              context,
              () -> {
                server.drop();
                return server.listen();
              });
      assertThat(await(listening)).as("port after restart %d", restart).isEqualTo(port);
    }
    await(onContext(context, server::close));
  }

  private static <T> Future<T> onContext(Context context, Supplier<Future<T>> action) {
    Promise<T> done = Promise.promise();
    context.runOnContext(ignored -> action.get().onComplete(done));
    return done.future();
  }

  private static <T> T await(Future<T> future) throws Exception {
    return future.toCompletionStage().toCompletableFuture().get(PATIENCE_SECONDS, TimeUnit.SECONDS);
  }
}
