package org.marjoramsail.command.platform;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpMethod;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import org.marjoramsail.core.time.Clock;
import org.marjoramsail.platform.assembly.LoopbackPlatform;
import org.marjoramsail.platform.standin.CallerStandIn;
import org.marjoramsail.platform.standin.PlatformStandIn;

/** Starts everything on loopback, sends requests of each kind, and counts what became of them. */
public final class PlatformDemo {

  private static final List<String> PATHS =
      List.of(
          PlatformStandIn.ONCE,
          PlatformStandIn.REPEATABLE,
          PlatformStandIn.STREAM,
          PlatformStandIn.RESUMABLE);

  private static final long SECOND_MILLIS = 1_000;

  /** Longer than the deadline of any request that was sent. */
  private static final long LAST_ANSWERS_MILLIS = 4_000;

  private final Vertx vertx = Vertx.vertx();
  private final LoopbackPlatform loopback;
  private final CallerStandIn caller = new CallerStandIn(vertx, LoopbackPlatform.ADDRESS);
  private final List<KindCount> kinds = PATHS.stream().map(KindCount::new).toList();
  private int sequence;
  private final AtomicInteger open = new AtomicInteger();

  /** Starts nothing yet. */
  public PlatformDemo(Clock clock) {
    this.loopback = new LoopbackPlatform(vertx, clock);
  }

  /**
   * Starts daemons, sends requests to each in turn, and stops all of it.
   *
   * @param daemons how many
   * @param perSecond how many requests
   * @param seconds for how long
   * @param started hears the ports of the daemons
   */
  public void run(int daemons, int perSecond, int seconds, Consumer<List<Integer>> started) {
    await(loopback.start(daemons));
    started.accept(loopback.callerPorts());
    long timer = vertx.setPeriodic(Math.max(1, SECOND_MILLIS / perSecond), fired -> send());
    await(vertx.timer(seconds, TimeUnit.SECONDS));
    vertx.cancelTimer(timer);
    await(whenAllAnswered(LAST_ANSWERS_MILLIS));
    await(loopback.stop());
    await(vertx.close());
  }

  /** What became of the requests, by kind. */
  public List<KindCount> kinds() {
    return kinds;
  }

  /** How many attempts ran more than once though they may not. */
  public int doubled() {
    Set<String> seen = new HashSet<>();
    int doubled = 0;
    for (String attempt : loopback.platform().runs()) {
      doubled += seen.add(attempt) ? 0 : 1;
    }
    return doubled;
  }

  private void send() {
    KindCount kind = kinds.get(sequence % kinds.size());
    List<Integer> ports = loopback.callerPorts();
    int port = ports.get(sequence / kinds.size() % ports.size());
    sequence++;
    open.incrementAndGet();
    kind.sent();
    caller
        .call(port, HttpMethod.POST, PlatformStandIn.HOST, kind.name() + sequence, Map.of())
        .onSuccess(kind::answered)
        .onFailure(failure -> kind.lost())
        .onComplete(done -> open.decrementAndGet());
  }

  private Future<Void> whenAllAnswered(long leftMillis) {
    return open.get() == 0 || leftMillis <= 0
        ? Future.succeededFuture()
        : vertx.timer(1).compose(waited -> whenAllAnswered(leftMillis - 1));
  }

  private static <T> T await(Future<T> future) {
    return future.toCompletionStage().toCompletableFuture().join();
  }
}
