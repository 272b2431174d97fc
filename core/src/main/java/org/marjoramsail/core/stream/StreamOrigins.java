package org.marjoramsail.core.stream;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Origins of streams for as long as their callers may resume them. Not thread-safe.
 *
 * <p>A key with two different origins is ambiguous, since a caller has used one identifier for two
 * streams; it has no origin from then on.
 */
public final class StreamOrigins {

  private static final class Entry {
    private Optional<StreamOrigin> origin;
    private final long recordedAtMillis;
    private long expiresAtMillis;

    private Entry(StreamOrigin origin, long recordedAtMillis) {
      this.origin = Optional.of(origin);
      this.recordedAtMillis = recordedAtMillis;
    }
  }

  private final int maximumEntries;
  private final Map<StreamKey, Entry> entries = new LinkedHashMap<>();
  private long dropped;

  /**
   * Creates an empty instance.
   *
   * @param maximumEntries number of streams beyond which the oldest is dropped
   */
  public StreamOrigins(int maximumEntries) {
    this.maximumEntries = maximumEntries;
  }

  /** Records the origin of a stream. */
  public void add(StreamRecord stream, long nowMillis) {
    Entry entry = entries.get(stream.key());
    if (entry == null || nowMillis >= entry.expiresAtMillis) {
      entries.remove(stream.key());
      dropOldestIfFull();
      entry = new Entry(stream.origin(), nowMillis);
      entries.put(stream.key(), entry);
    } else if (!entry.origin.equals(Optional.of(stream.origin()))) {
      entry.origin = Optional.empty();
    }
    entry.expiresAtMillis = Math.max(entry.expiresAtMillis, nowMillis + stream.lifetimeMillis());
  }

  /** Returns what is known of a stream. */
  public StreamKnowledge find(StreamKey key, long nowMillis) {
    Entry entry = entries.get(key);
    if (entry == null || nowMillis >= entry.expiresAtMillis) {
      return StreamKnowledge.NONE;
    }
    return new StreamKnowledge(
        entry.origin, entry.origin.isEmpty(), nowMillis - entry.recordedAtMillis);
  }

  /** Returns all streams that have an origin, with the lifetimes that are left. */
  public List<StreamRecord> all(long nowMillis) {
    List<StreamRecord> all = new ArrayList<>(entries.size());
    entries.forEach(
        (key, entry) ->
            entry
                .origin
                .filter(origin -> nowMillis < entry.expiresAtMillis)
                .map(origin -> new StreamRecord(key, origin, entry.expiresAtMillis - nowMillis))
                .ifPresent(all::add));
    return all;
  }

  /** Removes the streams that can no longer be resumed. */
  public void expire(long nowMillis) {
    entries.values().removeIf(entry -> nowMillis >= entry.expiresAtMillis);
  }

  /** Returns the number of streams. */
  public int size() {
    return entries.size();
  }

  /** Returns the number of streams that were dropped before they expired. */
  public long dropped() {
    return dropped;
  }

  private void dropOldestIfFull() {
    if (entries.size() >= maximumEntries) {
      Iterator<StreamKey> oldest = entries.keySet().iterator();
      oldest.next();
      oldest.remove();
      dropped++;
    }
  }
}
