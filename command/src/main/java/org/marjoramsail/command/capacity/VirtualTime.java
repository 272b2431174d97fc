package org.marjoramsail.command.capacity;

import java.util.Comparator;
import java.util.PriorityQueue;
import org.marjoramsail.core.time.Clock;
import org.marjoramsail.core.time.ManualClock;
import org.marjoramsail.daemon.configuration.Timers;

/** Timers on a virtual clock, run in one thread in the order of their times. */
final class VirtualTime implements Timers {

  private static final long START_MILLIS = 1_000_000;

  /** A task that has yet to run. */
  private static final class Task implements Timers.Timer {
    private final long dueMillis;
    private final long order;
    private final Runnable action;
    private boolean cancelled;

    Task(long dueMillis, long order, Runnable action) {
      this.dueMillis = dueMillis;
      this.order = order;
      this.action = action;
    }

    @Override
    public void cancel() {
      cancelled = true;
    }
  }

  private final ManualClock clock = new ManualClock(START_MILLIS);
  private final PriorityQueue<Task> tasks =
      new PriorityQueue<>(
          Comparator.<Task>comparingLong(task -> task.dueMillis)
              .thenComparingLong(task -> task.order));
  private long order;

  Clock clock() {
    return clock;
  }

  @Override
  public Timers.Timer schedule(long delayMillis, Runnable action) {
    Task task = new Task(clock.millis() + delayMillis, order++, action);
    tasks.add(task);
    return task;
  }

  /** Lets time pass and runs what becomes due. */
  void run(long millis) {
    long endMillis = clock.millis() + millis;
    while (!tasks.isEmpty() && tasks.peek().dueMillis <= endMillis) {
      Task task = tasks.poll();
      clock.advance(task.dueMillis - clock.millis());
      if (!task.cancelled) {
        task.action.run();
      }
    }
    clock.advance(endMillis - clock.millis());
  }
}
