package org.marjoramsail.standin.load;

import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.marjoramsail.core.time.Clock;

/** Chooses targets as a balancer does: in turn, those first that are ready and take connections. */
final class TargetPool {

  static final long PROBE_MILLIS = 250;
  private static final long AVOIDED_MILLIS = 1_000;
  private static final long PROBE_TIMEOUT_MILLIS = 1_000;
  private static final int OK = 200;

  private final List<LoadTarget> targets;
  private final Clock clock;
  private final AtomicInteger turn = new AtomicInteger();
  private final ConcurrentMap<LoadTarget, Long> avoidedUntil = new ConcurrentHashMap<>();
  private final ConcurrentMap<LoadTarget, Boolean> unready = new ConcurrentHashMap<>();

  TargetPool(List<LoadTarget> targets, Clock clock) {
    this.targets = List.copyOf(targets);
    this.clock = clock;
  }

  /** All targets in the order in which a request tries them. */
  List<LoadTarget> order() {
    int first = Math.floorMod(turn.getAndIncrement(), targets.size());
    List<LoadTarget> ready = new ArrayList<>(targets.size());
    List<LoadTarget> others = new ArrayList<>();
    for (int offset = 0; offset < targets.size(); offset++) {
      LoadTarget target = targets.get((first + offset) % targets.size());
      (isReady(target) ? ready : others).add(target);
    }
    ready.addAll(others);
    return ready;
  }

  /** Records that a target did not take a connection. */
  void connectFailed(LoadTarget target) {
    avoidedUntil.put(target, clock.millis() + AVOIDED_MILLIS);
  }

  /** Asks each target that has a readiness port whether it is ready. */
  void probe(HttpClient client) {
    for (LoadTarget target : targets) {
      target.readinessPort().ifPresent(port -> probe(client, target, port));
    }
  }

  private void probe(HttpClient client, LoadTarget target, int port) {
    RequestOptions options =
        new RequestOptions()
            .setMethod(HttpMethod.GET)
            .setHost(target.address())
            .setPort(port)
            .setURI("/health/ready")
            .setTimeout(PROBE_TIMEOUT_MILLIS);
    client
        .request(options)
        .compose(request -> request.send())
        .onComplete(
            response -> unready.put(target, response.statusCode() != OK),
            failure -> unready.put(target, true));
  }

  private boolean isReady(LoadTarget target) {
    long avoided = Optional.ofNullable(avoidedUntil.get(target)).orElse(Long.MIN_VALUE);
    return avoided <= clock.millis() && !unready.getOrDefault(target, false);
  }
}
