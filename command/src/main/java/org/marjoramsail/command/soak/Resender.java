package org.marjoramsail.command.soak;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.marjoramsail.standin.load.PlannedRequest;

/**
 * A keyed request whose connection was cut is sent again by its caller, with its key and through
 * another daemon, until an answer or a refusal comes.
 */
final class Resender {

  private static final long EVERY_MILLIS = 250;
  private static final int MOST_SENDS = 6;

  private final Vertx vertx;
  private final SideLoad side;
  private final List<PlannedRequest> due = new ArrayList<>();
  private final List<Observation> observed = new ArrayList<>();
  private final Map<String, Integer> sends = new HashMap<>();
  private final Promise<List<Observation>> finished = Promise.promise();
  private int underWay;
  private boolean closing;

  Resender(Vertx vertx, SideLoad side) {
    this.vertx = vertx;
    this.side = side;
  }

  /** Begins to send what was seen to be cut. */
  void start() {
    vertx.setPeriodic(EVERY_MILLIS, this::turn);
  }

  /** Handles what came of a request. */
  synchronized void observed(Observation observation) {
    if (observation.isCutWithKey()) {
      PlannedRequest request = observation.outcome().request();
      if (sends.merge(request.reference(), 1, Integer::sum) <= MOST_SENDS) {
        due.add(request);
      }
    }
  }

  /** Waits until nothing is left to send, and gives what came of all that was sent again. */
  synchronized Future<List<Observation>> finish() {
    closing = true;
    return finished.future();
  }

  private synchronized void turn(long timer) {
    if (!due.isEmpty()) {
      List<PlannedRequest> batch = List.copyOf(due);
      due.clear();
      underWay++;
      side.send(batch).onComplete(this::ended, this::failed);
    } else if (closing && underWay == 0) {
      vertx.cancelTimer(timer);
      finished.tryComplete(List.copyOf(observed));
    }
  }

  private synchronized void ended(List<Observation> observations) {
    underWay--;
    observed.addAll(observations);
    observations.forEach(this::observed);
  }

  private void failed(Throwable failure) {
    finished.tryFail(failure);
  }
}
