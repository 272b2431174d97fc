package org.marjoramsail.command.platform;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.marjoramsail.core.time.Clock;
import org.marjoramsail.platform.standin.CallerStandIn;
import org.marjoramsail.platform.standin.CallerStandIn.ClosePolicy;
import org.marjoramsail.platform.standin.PlatformStandIn;

/**
 * Callers of a soak that keep connections to every daemon busy until its process ends: half of them
 * honour that a response announces the close, half ignore it. Runs on one event loop.
 */
final class KeptConnections {

  private static final List<String> PATHS = List.of(PlatformStandIn.ONCE, PlatformStandIn.STREAM);
  private static final double MILLIS_PER_SECOND = 1_000;

  /** Requests at a time on a connection whose caller ignores an announced close. */
  private static final int IGNORING_REQUESTS = 2;

  /** Least pause after which a caller tries again to reach a daemon. */
  private static final long RETRY_MILLIS = 100;

  /** One connection, and what is sent on it. */
  private record Kept(String host, String path, ClosePolicy policy, CallerStandIn caller) {
    int requests() {
      return policy == ClosePolicy.IGNORE ? IGNORING_REQUESTS : 1;
    }
  }

  private final Vertx vertx;
  private final Clock clock;
  private final PlatformSoakSetup setup;
  private final PlatformProcesses daemons;
  private final SoakLoad load;
  private long intervalMillis;
  private long endMillis;

  /** Creates callers that send nothing yet. */
  KeptConnections(
      Vertx vertx, Clock clock, PlatformSoakSetup setup, PlatformProcesses daemons, SoakLoad load) {
    this.vertx = vertx;
    this.clock = clock;
    this.setup = setup;
    this.daemons = daemons;
    this.load = load;
  }

  /** Sends requests from now on until a time. */
  void start(long untilMillis) {
    if (setup.keptPerSecond() == 0) {
      return;
    }
    endMillis = untilMillis;
    List<Kept> all = daemons.entries().stream().flatMap(this::connections).toList();
    int requests = all.stream().mapToInt(Kept::requests).sum();
    intervalMillis = Math.max(1, Math.round(requests * MILLIS_PER_SECOND / setup.keptPerSecond()));
    all.forEach(this::send);
  }

  private Stream<Kept> connections(PlatformProcesses.Entry entry) {
    return PATHS.stream()
        .flatMap(
            path ->
                Stream.of(ClosePolicy.values())
                    .map(
                        policy ->
                            new Kept(entry.host(), path, policy, load.keepingCaller(policy))));
  }

  /** Sends as many requests as run on a connection at a time, and the next ones after them. */
  private void send(Kept kept) {
    long nowMillis = clock.millis();
    if (nowMillis >= endMillis) {
      return;
    }
    Optional<PlatformProcesses.Entry> entry = entry(kept.host());
    if (entry.isEmpty()) {
      vertx.setTimer(RETRY_MILLIS, fired -> send(kept));
      return;
    }
    List<Future<CallerStandIn.Answer>> calls =
        Stream.generate(() -> load.sendKept(kept.caller(), entry.orElseThrow(), kept.path()))
            .limit(kept.requests())
            .toList();
    Future.join(calls).onComplete(ended -> sendLater(kept, nowMillis, ended.succeeded()));
  }

  private void sendLater(Kept kept, long sentMillis, boolean answered) {
    long leastMillis = answered ? 1 : RETRY_MILLIS;
    long dueMillis = sentMillis + intervalMillis - clock.millis();
    vertx.setTimer(Math.max(leastMillis, dueMillis), fired -> send(kept));
  }

  private Optional<PlatformProcesses.Entry> entry(String host) {
    return daemons.entries().stream().filter(entry -> entry.host().equals(host)).findFirst();
  }
}
