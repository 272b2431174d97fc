package org.marjoramsail.standin.server;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Supplier;

/**
 * Gives reports of load as late as a real upstream does: taken at intervals, seen after a lag.
 *
 * @param <S> what a snapshot holds
 */
public final class StatusHistory<S> {

  /**
   * A snapshot and its age.
   *
   * @param value the snapshot
   * @param ageMillis how long ago it was taken, in milliseconds
   */
  public record Aged<S>(S value, long ageMillis) {}

  private record Taken<S>(S value, long atMillis) {}

  private final long everyMillis;
  private final long lagMillis;
  private final Deque<Taken<S>> snapshots = new ArrayDeque<>();

  /**
   * Creates an instance with the first snapshot, which is seen until a later one is old enough.
   *
   * @param everyMillis time between snapshots, in milliseconds
   * @param lagMillis age at which a snapshot is first seen, in milliseconds
   * @param nowMillis the time
   * @param first the state at the start
   */
  public StatusHistory(long everyMillis, long lagMillis, long nowMillis, S first) {
    this.everyMillis = everyMillis;
    this.lagMillis = lagMillis;
    snapshots.add(new Taken<>(first, nowMillis));
  }

  /** Makes a snapshot if the last one is old enough, and forgets those that nobody can see. */
  public void observe(long nowMillis, Supplier<S> state) {
    if (nowMillis - snapshots.getLast().atMillis() < everyMillis) {
      return;
    }
    snapshots.addLast(new Taken<>(state.get(), nowMillis));
    dropUnseen(nowMillis);
  }

  private void dropUnseen(long nowMillis) {
    while (snapshots.size() > 1 && isSecondVisible(nowMillis)) {
      snapshots.removeFirst();
    }
  }

  private boolean isSecondVisible(long nowMillis) {
    return snapshots.stream().skip(1).findFirst().orElseThrow().atMillis() + lagMillis <= nowMillis;
  }

  /** The newest snapshot that has reached the lag. */
  public Aged<S> visible(long nowMillis) {
    dropUnseen(nowMillis);
    Taken<S> oldest = snapshots.getFirst();
    return new Aged<>(oldest.value(), nowMillis - oldest.atMillis());
  }
}
