package org.marjoramsail.core.stream;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/**
 * Decides when a daemon writes the origins of the streams that it has begun to the store, and
 * which. Not thread-safe.
 *
 * <p>Guards against streams that go on nowhere after all daemons were killed at once, which lose
 * the origins that they keep for each other. An origin is true for as long as anybody may ask for
 * it, so that a write may be late, repeated or lost: a stream without a record is refused.
 */
public final class ArchiveSchedule {

  /** Number of streams in all objects together, so that one response of the store has them all. */
  public static final int MAXIMUM_STREAMS = 16_000;

  /** Number of writes of all daemons together in a second, beside those of the platform. */
  private static final long WRITES_PER_SECOND = 16;

  private static final long SHORTEST_PAUSE_MILLIS = 500;

  /** In a larger fleet most streams end before it is their daemon's turn to write. */
  private static final int MAXIMUM_HOSTS = 32;

  private final StreamOrigins begun = new StreamOrigins(MAXIMUM_STREAMS);
  private boolean changed;
  private boolean writing;
  private long nextWriteMillis = Long.MIN_VALUE;

  /** Returns whether a fleet is small enough to keep origins in the store. */
  public static boolean isFor(int hosts) {
    return hosts <= MAXIMUM_HOSTS;
  }

  /** Records a stream that this daemon has begun. */
  public void add(StreamRecord stream, long nowMillis) {
    begun.add(stream, nowMillis);
    changed = true;
  }

  /** Adds the streams that the store has of this host, of a daemon before this one. */
  public void restore(List<StreamRecord> stored, long nowMillis) {
    stored.forEach(stream -> begun.add(stream, nowMillis));
  }

  /**
   * Returns whether a write is due. If so, {@link #written} or {@link #failed} ends it.
   *
   * <p>Streams are kept back while their service is clear, and written once it no longer is.
   *
   * @param hosts size of the fleet
   * @param isUnclear whether a daemon may have to know which version of a service began a stream
   */
  public boolean begin(int hosts, Predicate<String> isUnclear, long nowMillis) {
    if (!changed || writing || nowMillis < nextWriteMillis || !isFor(hosts)) {
      return false;
    }
    long sharedPauseMillis = hosts * 1_000L / WRITES_PER_SECOND;
    nextWriteMillis = nowMillis + Math.max(SHORTEST_PAUSE_MILLIS, sharedPauseMillis);
    if (streams(hosts, isUnclear, nowMillis).isEmpty()) {
      return false;
    }
    changed = false;
    writing = true;
    return true;
  }

  /** Returns the streams to be written: the newest of unclear services, up to the host's share. */
  public List<StreamRecord> streams(int hosts, Predicate<String> isUnclear, long nowMillis) {
    Map<String, Boolean> unclear = new HashMap<>();
    List<StreamRecord> streams =
        begun.all(nowMillis).stream()
            .filter(one -> unclear.computeIfAbsent(one.origin().service(), isUnclear::test))
            .toList();
    int share = MAXIMUM_STREAMS / Math.max(1, hosts);
    return streams.subList(Math.max(0, streams.size() - share), streams.size());
  }

  /** Handles a write that was done. */
  public void written() {
    writing = false;
  }

  /** Handles a write that failed; it is due again after the same pause. */
  public void failed() {
    writing = false;
    changed = true;
  }

  /** Removes the streams that can no longer be resumed. */
  public void expire(long nowMillis) {
    begun.expire(nowMillis);
  }
}
