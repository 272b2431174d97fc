package org.marjoramsail.core.placement;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Event queue of a simulation, run in the order of time on a virtual clock. */
final class VirtualEvents {

  private record Event(long atMillis, long order, Runnable action) {}

  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          Comparator.comparingLong(Event::atMillis).thenComparingLong(Event::order));
  private long order;
  private long nowMillis;

  /** Returns the time of the current event, in milliseconds. */
  long now() {
    return nowMillis;
  }

  /** Schedules an action at a time. */
  void at(long millis, Runnable action) {
    events.add(new Event(millis, order++, action));
  }

  /** Schedules an action periodically until a time. */
  void every(long periodMillis, long untilMillis, Runnable action) {
    for (long millis = 0; millis < untilMillis; millis += periodMillis) {
      at(millis, action);
    }
  }

  /** Runs all events, including those added by other events. */
  void run() {
    while (!events.isEmpty()) {
      Event event = events.poll();
      nowMillis = event.atMillis();
      event.action().run();
    }
  }
}
