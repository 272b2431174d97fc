package org.marjoramsail.daemon.configuration;

import java.util.Comparator;
import java.util.Optional;
import java.util.PriorityQueue;
import org.marjoramsail.core.time.ManualClock;

/** Timers that run when the clock is moved by hand, in order of their time. */
public final class FakeTimers implements Timers {

  private record Task(long dueMillis, long sequence, Runnable action) {}

  private final ManualClock clock;
  private final PriorityQueue<Task> tasks =
      new PriorityQueue<>(Comparator.comparingLong(Task::dueMillis).thenComparing(Task::sequence));
  private long sequence;

  public FakeTimers(ManualClock clock) {
    this.clock = clock;
  }

  @Override
  public Timer schedule(long delayMillis, Runnable task) {
    sequence++;
    Task entry = new Task(clock.millis() + delayMillis, sequence, task);
    tasks.add(entry);
    return () -> tasks.remove(entry);
  }

  /** Moves the clock and runs what becomes due on the way. */
  public void advance(long millis) {
    long end = clock.millis() + millis;
    while (dueBy(end).isPresent()) {
      Task task = tasks.remove();
      clock.advance(Math.max(0, task.dueMillis() - clock.millis()));
      task.action().run();
    }
    clock.advance(end - clock.millis());
  }

  private Optional<Task> dueBy(long millis) {
    return Optional.ofNullable(tasks.peek()).filter(task -> task.dueMillis() <= millis);
  }
}
