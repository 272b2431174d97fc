package org.marjoramsail.standin.load;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import org.marjoramsail.core.time.Clock;

/**
 * Sends a workload open loop: each request leaves at its planned time, whether or not earlier ones
 * were answered, and its latency counts from that time.
 */
public final class LoadRunner {

  private final Vertx vertx;
  private final Clock clock;
  private final ExpectedResponse expected;
  private final LoadRunnerOptions options;
  private final ObjectMapper mapper = new ObjectMapper();

  /** Creates an instance with what it runs on, its clock, and what the right answers are. */
  public LoadRunner(
      Vertx vertx, Clock clock, ExpectedResponse expected, LoadRunnerOptions options) {
    this.vertx = vertx;
    this.clock = clock;
    this.expected = expected;
    this.options = options;
  }

  /** Sends all requests and waits for their ends. */
  public Future<List<RequestOutcome>> run(List<LoadTarget> targets, List<PlannedRequest> requests) {
    return run(targets, requests, outcome -> {});
  }

  /**
   * Sends all requests and waits for their ends.
   *
   * @param targets who may answer
   * @param requests ordered by their planned time
   * @param listener told of each end, on any thread
   * @return the ends, in no particular order; each request has exactly one
   */
  public Future<List<RequestOutcome>> run(
      List<LoadTarget> targets, List<PlannedRequest> requests, LoadListener listener) {
    if (requests.isEmpty()) {
      return Future.succeededFuture(List.of());
    }
    Promise<List<RequestOutcome>> finished = Promise.promise();
    ConcurrentLinkedQueue<RequestOutcome> outcomes = new ConcurrentLinkedQueue<>();
    AtomicInteger left = new AtomicInteger(requests.size());
    TargetPool pool = new TargetPool(targets, clock);
    LoadListener collecting =
        outcome -> {
          outcomes.add(outcome);
          listener.ended(outcome);
          if (left.decrementAndGet() == 0) {
            finished.complete(List.copyOf(outcomes));
          }
        };
    return startLanes(pool, requests, collecting)
        .compose(
            lanes ->
                finished
                    .future()
                    .eventually(() -> Future.join(lanes.stream().map(vertx::undeploy).toList())));
  }

  private Future<List<String>> startLanes(
      TargetPool pool, List<PlannedRequest> requests, LoadListener listener) {
    List<List<PlannedRequest>> shares = share(requests);
    long start = clock.millis() + options.startAfterMillis();
    List<Future<String>> lanes = new ArrayList<>();
    for (List<PlannedRequest> share : shares) {
      LoadLane lane = new LoadLane(pool, share, start, clock, expected, mapper, options, listener);
      lanes.add(vertx.deployVerticle(lane));
    }
    return Future.all(lanes).map(all -> lanes.stream().map(Future::result).toList());
  }

  private List<List<PlannedRequest>> share(List<PlannedRequest> requests) {
    List<List<PlannedRequest>> shares = new ArrayList<>();
    for (int lane = 0; lane < options.lanes(); lane++) {
      shares.add(new ArrayList<>());
    }
    for (int place = 0; place < requests.size(); place++) {
      shares.get(place % shares.size()).add(requests.get(place));
    }
    return shares;
  }
}
