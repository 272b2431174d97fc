package org.marjoramsail.command.soak;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.marjoramsail.core.time.Clock;
import org.marjoramsail.standin.load.ExpectedResponse;
import org.marjoramsail.standin.load.LoadRunner;
import org.marjoramsail.standin.load.LoadRunnerOptions;
import org.marjoramsail.standin.load.LoadTarget;
import org.marjoramsail.standin.load.PlannedRequest;

/** Sends requests beside the workload, each time through another daemon first. */
final class SideLoad {

  private static final int LANES = 1;
  private static final int CONNECTIONS = 50;

  private final Context home;
  private final LoadRunner runner;
  private final Clock clock;
  private final long startMillis;
  private final List<LoadTarget> targets;
  private final AtomicInteger turn = new AtomicInteger();

  /**
   * Creates an instance with whom it sends to.
   *
   * @param startMillis the start of the run on the clock
   * @param graceMillis how long after its deadline a request counts as lost
   */
  SideLoad(
      Vertx vertx,
      Clock clock,
      ExpectedResponse expected,
      long startMillis,
      long graceMillis,
      List<LoadTarget> targets) {
    this.home = vertx.getOrCreateContext();
    this.clock = clock;
    this.startMillis = startMillis;
    this.targets = List.copyOf(targets);
    this.runner =
        new LoadRunner(
            vertx, clock, expected, new LoadRunnerOptions(LANES, 0, graceMillis, CONNECTIONS));
  }

  /**
   * Sends all at once and waits for their ends.
   *
   * <p>It starts on a context of its own: on that of an earlier load's lane, which is gone by now,
   * nothing more can be deployed.
   */
  Future<List<Observation>> send(List<PlannedRequest> requests) {
    Promise<List<Observation>> ends = Promise.promise();
    home.runOnContext(nothing -> sendHere(requests).onComplete(ends));
    return ends.future();
  }

  private Future<List<Observation>> sendHere(List<PlannedRequest> requests) {
    List<LoadTarget> order = new ArrayList<>(targets);
    Collections.rotate(order, turn.getAndIncrement());
    long base = clock.millis() - startMillis;
    return runner
        .run(order, requests.stream().map(request -> request.repeatedAt(0)).toList())
        .map(outcomes -> outcomes.stream().map(one -> new Observation(base, one)).toList());
  }
}
