package org.marjoramsail.daemon.fleet;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Events of a simulation, in the order of their virtual time. */
final class EventQueue {

  private record Event(long atMillis, long order, Runnable action) {}

  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          Comparator.comparingLong(Event::atMillis).thenComparingLong(Event::order));
  private long order;

  /** Schedules an action at a time. */
  void at(long millis, Runnable action) {
    events.add(new Event(millis, order++, action));
  }

  /** Runs all events that are due, including those added by other events. */
  void runDue(long nowMillis) {
    while (!events.isEmpty() && events.peek().atMillis() <= nowMillis) {
      events.poll().action().run();
    }
  }
}
