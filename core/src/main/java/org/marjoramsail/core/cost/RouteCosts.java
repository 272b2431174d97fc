package org.marjoramsail.core.cost;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;

/**
 * Work of requests by route and size, learned from completed attempts. Of a route and size without
 * attempts, the mean over all is expected.
 */
public final class RouteCosts {

  private static final int MAXIMUM_ENTRIES = 512;

  /** Weight that older attempts keep with each further one. */
  private static final double RETAINED_WEIGHT = 0.98;

  /** Weight of the mean over all routes, in attempts. */
  private static final double MEAN_WEIGHT = 2;

  /** Bounds the effect of a single attempt. */
  private static final double MAXIMUM_STEP_FACTOR = 8;

  private record Key(String route, int sizeClass) {}

  private static final class Entry {
    private double weight;
    private double sum;
    private double squares;

    void observe(double value) {
      weight = weight * RETAINED_WEIGHT + 1;
      sum = sum * RETAINED_WEIGHT + value;
      squares = squares * RETAINED_WEIGHT + value * value;
    }

    double mean(double overall) {
      return (sum + MEAN_WEIGHT * overall) / (weight + MEAN_WEIGHT);
    }
  }

  private final Cache<Key, Entry> entries =
      Caffeine.newBuilder().maximumSize(MAXIMUM_ENTRIES).executor(Runnable::run).build();
  private final Entry all = new Entry();
  private final double initialCost;

  /** Creates costs that are all equal to an initial estimate. */
  public RouteCosts(double initialCost) {
    this.initialCost = initialCost;
  }

  /** Adds the cost of a completed attempt; invalid costs are ignored. */
  public void observe(String route, int size, double cost) {
    if (!(cost > 0) || Double.isInfinite(cost)) {
      return;
    }
    Entry entry = entries.get(new Key(route, sizeClass(size)), key -> new Entry());
    double bounded =
        entry.weight >= MEAN_WEIGHT
            ? Math.min(cost, MAXIMUM_STEP_FACTOR * entry.sum / entry.weight)
            : cost;
    entry.observe(bounded);
    all.observe(bounded);
  }

  /** Returns the expected cost of a request. */
  public double mean(String route, int size) {
    Entry entry = entries.getIfPresent(new Key(route, sizeClass(size)));
    return entry == null ? overall() : entry.mean(overall());
  }

  /** Returns the standard deviation of the cost of a request; zero if nothing is learned of it. */
  public double deviation(String route, int size) {
    Entry entry = entries.getIfPresent(new Key(route, sizeClass(size)));
    if (entry == null) {
      return 0;
    }
    double average = entry.sum / entry.weight;
    return Math.sqrt(Math.max(0, entry.squares / entry.weight - average * average));
  }

  /** Returns the mean over all requests. */
  public double overall() {
    return all.weight == 0 ? initialCost : all.sum / all.weight;
  }

  long entries() {
    entries.cleanUp();
    return entries.estimatedSize();
  }

  /** Sizes of one class differ by at most a factor of two. */
  private static int sizeClass(int size) {
    return Integer.SIZE - Integer.numberOfLeadingZeros(Math.max(0, size));
  }
}
