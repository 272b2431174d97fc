package org.marjoramsail.benchmark;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.marjoramsail.core.model.RequestId;
import org.marjoramsail.core.placement.AttemptPhase;
import org.marjoramsail.core.placement.AttemptReport;
import org.marjoramsail.core.placement.AttemptResult;
import org.marjoramsail.core.placement.PlacementRequest;
import org.marjoramsail.core.placement.PlacementResult;
import org.marjoramsail.core.placement.ReservingPlacer;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Level;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/**
 * Time and bytes of one placement in a full shard: one attempt arrives, one ends, one is granted.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.SampleTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Fork(1)
@Warmup(iterations = 5, time = 500, timeUnit = TimeUnit.MILLISECONDS)
@Measurement(iterations = 3, time = 500, timeUnit = TimeUnit.MILLISECONDS)
public class PlacementBenchmark {

  private static final int ORGANISATIONS = 20;
  private static final int HASHES = 64;
  private static final int PREPARED = 1 << 15;
  private static final long MILLIS_BETWEEN = 50;

  /** Half of them read prompts, half generate. */
  @Param({"12", "24", "48", "96"})
  int upstreams;

  /** How many attempts wait all the time. */
  @Param({"0", "100", "1000", "10000"})
  int waiting;

  private final Deque<RequestId> running = new ArrayDeque<>();
  private PlacementRequest[] requests;
  private ReservingPlacer placer;
  private long nowMillis;
  private int next;

  /** Fills all slots and the queue. */
  @Setup(Level.Trial)
  public void fill() {
    requests = new PlacementRequest[PREPARED];
    for (int number = 0; number < PREPARED; number++) {
      requests[number] = BenchmarkPool.request(number, ORGANISATIONS, HASHES);
    }
    nowMillis = 0;
    next = 0;
    running.clear();
    int half = upstreams / 2;
    placer =
        new ReservingPlacer(
            BenchmarkPool.setup(
                BenchmarkPool.configuration(half, half, BenchmarkPool.SLOTS),
                BenchmarkPool.largeQueueSettings(),
                1),
            0);
    int slots = half * BenchmarkPool.SLOTS;
    while (waiting > 0 && placer.view(nowMillis).waiting().size() < waiting) {
      for (int number = 0; number < Math.max(waiting, slots) / 4; number++) {
        arrive();
      }
    }
  }

  /** One attempt arrives, one ends; the queue keeps its length. */
  @Benchmark
  public List<PlacementResult> place() {
    List<PlacementResult> results = arrive();
    if (!running.isEmpty()) {
      note(placer.report(ended(running.pollFirst()), nowMillis));
    }
    return results;
  }

  private List<PlacementResult> arrive() {
    nowMillis += MILLIS_BETWEEN;
    note(placer.tick(nowMillis));
    List<PlacementResult> results = placer.place(requests[next], nowMillis);
    next = (next + 1) % PREPARED;
    note(results);
    return results;
  }

  private void note(List<PlacementResult> results) {
    for (PlacementResult result : results) {
      if (result instanceof PlacementResult.Granted) {
        running.addLast(result.request());
      }
    }
  }

  private static AttemptReport ended(RequestId request) {
    return new AttemptReport(
        request,
        1,
        AttemptPhase.ENDED,
        Optional.of(AttemptResult.COMPLETED),
        Optional.empty(),
        0,
        0,
        100);
  }
}
