package org.marjoramsail.command.capacity;

import com.sun.management.ThreadMXBean;
import java.lang.management.ManagementFactory;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import org.marjoramsail.core.model.RequestId;
import org.marjoramsail.core.placement.AttemptPhase;
import org.marjoramsail.core.placement.AttemptReport;
import org.marjoramsail.core.placement.AttemptResult;
import org.marjoramsail.core.placement.PlacementRequest;
import org.marjoramsail.core.placement.PlacementResult;
import org.marjoramsail.core.placement.ReservingPlacer;

/** Time, bytes and state of placement by the owner of a shard, and its messages. */
final class PlacementPart {

  private static final List<Integer> UPSTREAMS = List.of(12, 24, 48, 96);
  private static final List<Integer> WAITING = List.of(0, 100, 1_000, 10_000);
  private static final int WARM_UP = 2_000;
  private static final int PLACEMENTS = 5_000;

  /** Placements before all, so that the virtual machine has compiled what is measured. */
  private static final int COMPILE = 20_000;

  private static final int PREPARED = 1 << 14;
  private static final int HASHES = 64;
  private static final long MILLIS_BETWEEN = 50;
  private static final int STATE_REQUESTS = 10_000;
  private static final int STATE_COPIES = 40;
  private static final double NANOS_PER_MICRO = 1_000;

  private final long seed;

  PlacementPart(long seed) {
    this.seed = seed;
  }

  List<Point> measure() {
    List<Point> points = new ArrayList<>();
    for (int waiting : WAITING) {
      new Shard(UPSTREAMS.get(0), waiting, seed).place(COMPILE);
    }
    for (int upstreams : UPSTREAMS) {
      for (int waiting : WAITING) {
        measure(upstreams, waiting, points);
      }
    }
    points.add(Point.of(Measure.PLACEMENT_WAITING_STATE, 0, waitingState(0)));
    points.add(Point.of(Measure.PLACEMENT_WAITING_STATE, HASHES, waitingState(HASHES)));
    points.add(Point.of(Measure.PLACEMENT_UPSTREAM_STATE, 24, upstreamState(24)));
    points.addAll(PlacementMessages.measure());
    return points;
  }

  private void measure(int upstreams, int waiting, List<Point> points) {
    ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
    Shard shard = new Shard(upstreams, waiting, seed);
    shard.place(WARM_UP);
    long nanos = threads.getCurrentThreadCpuTime();
    long bytes = threads.getThreadAllocatedBytes(Thread.currentThread().getId());
    shard.place(PLACEMENTS);
    double micros = (threads.getCurrentThreadCpuTime() - nanos) / NANOS_PER_MICRO / PLACEMENTS;
    double allocated =
        (threads.getThreadAllocatedBytes(Thread.currentThread().getId()) - bytes)
            / (double) PLACEMENTS;
    points.add(new Point(Measure.PLACEMENT_MICROS, upstreams, waiting, micros));
    points.add(new Point(Measure.PLACEMENT_ALLOCATED, upstreams, waiting, allocated));
  }

  private double waitingState(int hashes) {
    ReservingPlacer placer = TargetShard.placer(2, seed);
    long before = HeapUse.bytes();
    for (int number = 0; number < STATE_REQUESTS; number++) {
      placer.place(TargetShard.request(number, hashes), 0);
    }
    double each = (HeapUse.bytes() - before) / (double) STATE_REQUESTS;
    placer.tick(0);
    return each;
  }

  private double upstreamState(int upstreams) {
    List<ReservingPlacer> placers = new ArrayList<>();
    long before = HeapUse.bytes();
    for (int copy = 0; copy < STATE_COPIES; copy++) {
      placers.add(TargetShard.placer(upstreams, seed));
    }
    return (HeapUse.bytes() - before) / (double) (placers.size() * upstreams);
  }

  /** A full shard: each placement lets one attempt arrive and one end. */
  private static final class Shard {
    private final Deque<RequestId> running = new ArrayDeque<>();
    private final List<PlacementRequest> requests = new ArrayList<>();
    private final ReservingPlacer placer;
    private long nowMillis;
    private int next;

    Shard(int upstreams, int waiting, long seed) {
      for (int number = 0; number < PREPARED; number++) {
        requests.add(TargetShard.request(number, HASHES));
      }
      this.placer = TargetShard.placer(upstreams, seed);
      while (waiting > 0 && placer.view(nowMillis).waiting().size() < waiting) {
        for (int number = 0; number < waiting; number++) {
          arrive();
        }
      }
    }

    void place(int times) {
      for (int time = 0; time < times; time++) {
        arrive();
        if (!running.isEmpty()) {
          note(placer.report(ended(running.pollFirst()), nowMillis));
        }
      }
    }

    private void arrive() {
      nowMillis += MILLIS_BETWEEN;
      note(placer.tick(nowMillis));
      note(placer.place(requests.get(next), nowMillis));
      next = (next + 1) % PREPARED;
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
}
