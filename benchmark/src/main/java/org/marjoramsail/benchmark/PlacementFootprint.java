package org.marjoramsail.benchmark;

import java.util.ArrayList;
import java.util.List;
import org.marjoramsail.core.placement.PlacementRequest;
import org.marjoramsail.core.placement.ReservingPlacer;

/**
 * Prints the bytes of heap that a placer keeps for each waiting request, upstream, organisation.
 */
public final class PlacementFootprint {

  private static final int HASHES = 15;
  private static final int COLLECTIONS = 4;

  private PlacementFootprint() {}

  /**
   * Measures by the heap in use after collections; run with a small heap and the serial collector.
   */
  public static void main(String[] arguments) {
    measureUpstreams(24);
    measureUpstreams(96);
    measureWaiting("request without hashes, one organisation", 10_000, 1, 0);
    measureWaiting("request with " + HASHES + " hashes, one organisation", 10_000, 1, HASHES);
    measureWaiting("request without hashes, each of its own organisation", 10_000, 10_000, 0);
  }

  private static void measureUpstreams(int upstreams) {
    List<ReservingPlacer> placers = new ArrayList<>();
    int copies = 20;
    long before = usedBytes();
    for (int copy = 0; copy < copies; copy++) {
      placers.add(placer(upstreams));
    }
    long each = (usedBytes() - before) / ((long) copies * upstreams);
    System.out.printf("%d upstreams: %d bytes an upstream (%d)%n", upstreams, each, placers.size());
  }

  private static void measureWaiting(String what, int waiting, int organisations, int hashes) {
    ReservingPlacer placer = placer(2);
    long before = usedBytes();
    int placed = 0;
    for (; placed < waiting; placed++) {
      PlacementRequest request = BenchmarkPool.request(placed, organisations, hashes);
      placer.place(request, 0);
    }
    long each = (usedBytes() - before) / placed;
    int running = placer.view(0).running().size();
    System.out.printf("%s: %d bytes (%d of %d run)%n", what, each, running, placed);
  }

  private static ReservingPlacer placer(int upstreams) {
    return new ReservingPlacer(
        BenchmarkPool.setup(
            BenchmarkPool.configuration(upstreams / 2, upstreams / 2, BenchmarkPool.SLOTS),
            BenchmarkPool.largeQueueSettings(),
            1),
        0);
  }

  private static long usedBytes() {
    Runtime runtime = Runtime.getRuntime();
    for (int collection = 0; collection < COLLECTIONS; collection++) {
      System.gc();
    }
    return runtime.totalMemory() - runtime.freeMemory();
  }
}
