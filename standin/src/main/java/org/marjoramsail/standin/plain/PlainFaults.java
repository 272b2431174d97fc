package org.marjoramsail.standin.plain;

import java.util.ArrayDeque;
import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.random.RandomGenerator;

/** Faults that are switched on; safe for several threads. */
final class PlainFaults {

  private final RandomGenerator random;
  private final Queue<PlainFault> next = new ArrayDeque<>();
  private final Map<PlainFault, Double> shares = new EnumMap<>(PlainFault.class);
  private double slowness = 1;
  private boolean refusing;
  private boolean leaving;

  PlainFaults(RandomGenerator random) {
    this.random = random;
  }

  synchronized void failNext(PlainFault fault) {
    next.add(fault);
  }

  synchronized void failShare(PlainFault fault, double share) {
    shares.put(fault, share);
  }

  /** Draws the fault that a new request meets. */
  synchronized Optional<PlainFault> draw() {
    Optional<PlainFault> planned = Optional.ofNullable(next.poll());
    if (planned.isPresent() || shares.isEmpty()) {
      return planned;
    }
    double drawn = random.nextDouble();
    for (Map.Entry<PlainFault, Double> entry : shares.entrySet()) {
      if (drawn < entry.getValue()) {
        return Optional.of(entry.getKey());
      }
      drawn -= entry.getValue();
    }
    return Optional.empty();
  }

  synchronized void slowDown(double factor) {
    slowness = factor;
  }

  synchronized double slowness() {
    return slowness;
  }

  synchronized void refuse(boolean isRefusing) {
    refusing = isRefusing;
  }

  synchronized boolean isRefusing() {
    return refusing;
  }

  synchronized void leave(boolean isLeaving) {
    leaving = isLeaving;
  }

  synchronized boolean isLeaving() {
    return leaving;
  }
}
