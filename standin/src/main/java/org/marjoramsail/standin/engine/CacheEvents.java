package org.marjoramsail.standin.engine;

import com.fasterxml.jackson.annotation.JsonValue;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.NavigableMap;
import java.util.TreeMap;
import java.util.random.RandomGenerator;

/** Events of the prefix cache as outsiders see them: late, some lost, and only the latest kept. */
final class CacheEvents {

  private static final int KEPT_EVENTS = 65_536;
  private static final int EVENTS_PER_ANSWER = 4_096;

  /** What happened to a block. */
  enum Kind {
    STORED,
    REMOVED,
    CLEARED;

    /** The word in the answer. */
    @JsonValue
    String code() {
      return name().toLowerCase(Locale.ROOT);
    }
  }

  /** One event as it is sent. */
  record Event(long sequence, Kind kind, long hash) {}

  /** What is seen after some sequence number, and the number to ask after next. */
  record Page(long next, List<Event> events) {}

  private record Dated(Event event, long atMillis) {}

  private final long lagMillis;
  private final double lossShare;
  private final RandomGenerator random;
  private final NavigableMap<Long, Dated> kept = new TreeMap<>();
  private long lastSequence;

  CacheEvents(long lagMillis, double lossShare, RandomGenerator random) {
    this.lagMillis = lagMillis;
    this.lossShare = lossShare;
    this.random = random;
  }

  /** Records an event; a lost one leaves only its gap in the sequence. */
  void add(Kind kind, long hash, long nowMillis) {
    lastSequence++;
    if (random.nextDouble() < lossShare) {
      return;
    }
    kept.put(lastSequence, new Dated(new Event(lastSequence, kind, hash), nowMillis));
    if (kept.size() > KEPT_EVENTS) {
      kept.pollFirstEntry();
    }
  }

  /** The events after a sequence number that are old enough to be seen. */
  Page after(long sequence, long nowMillis) {
    List<Event> visible = new ArrayList<>();
    long next = sequence;
    for (Dated dated : kept.tailMap(sequence, false).values()) {
      if (dated.atMillis() + lagMillis > nowMillis || visible.size() == EVENTS_PER_ANSWER) {
        break;
      }
      visible.add(dated.event());
      next = dated.event().sequence();
    }
    return new Page(next, visible);
  }
}
