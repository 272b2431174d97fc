package org.marjoramsail.core.placement;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Events of a small model, run in the order of their times on a clock of their own. */
final class VirtualEvents {

  private record Event(long atMillis, long order, Runnable action) {}

  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          Comparator.comparingLong(Event::atMillis).thenComparingLong(Event::order));
  private long order;
  private long nowMillis;

  /** The time of the event that runs now, in milliseconds. */
  long now() {
    return nowMillis;
  }

  /** Has an action run at a time. */
  void at(long millis, Runnable action) {
    events.add(new Event(millis, order++, action));
  }

  /** Has an action run again and again until a time. */
  void every(long periodMillis, long untilMillis, Runnable action) {
    for (long millis = 0; millis < untilMillis; millis += periodMillis) {
      at(millis, action);
    }
  }

  /** Runs all events, also those that are added meanwhile. */
  void run() {
    while (!events.isEmpty()) {
      Event event = events.poll();
      nowMillis = event.atMillis();
      event.action().run();
    }
  }
}
