package org.marjoramsail.command.platform;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The times at which parts of a soak were disturbed, by name. Not thread-safe. */
final class DisturbedTimes {

  /** The disturbances of one part: where some overlap, one span from the first to the last. */
  private static final class Spans {
    private final List<Span> ended = new ArrayList<>();
    private int active;
    private long sinceMillis;
  }

  private record Span(long fromMillis, long untilMillis) {
    boolean overlaps(long otherFromMillis, long otherUntilMillis) {
      return fromMillis <= otherUntilMillis && otherFromMillis <= untilMillis;
    }
  }

  private final Map<String, Spans> parts = new HashMap<>();

  /** Records that a disturbance of a part begins; several of one part may overlap. */
  void begin(String part, long nowMillis) {
    Spans spans = parts.computeIfAbsent(part, name -> new Spans());
    if (spans.active++ == 0) {
      spans.sinceMillis = nowMillis;
    }
  }

  /** Records that a disturbance of a part ends. */
  void end(String part, long nowMillis) {
    Spans spans = parts.computeIfAbsent(part, name -> new Spans());
    if (--spans.active == 0) {
      spans.ended.add(new Span(spans.sinceMillis, nowMillis));
    }
  }

  /** Records a disturbance of a part that is over. */
  void add(String part, long fromMillis, long untilMillis) {
    parts.computeIfAbsent(part, name -> new Spans()).ended.add(new Span(fromMillis, untilMillis));
  }

  /** Returns whether a part was without disturbance from one time until another. */
  boolean isCalm(String part, long fromMillis, long untilMillis) {
    Spans spans = parts.get(part);
    if (spans == null) {
      return true;
    }
    boolean isActive = spans.active > 0 && spans.sinceMillis <= untilMillis;
    return !isActive
        && spans.ended.stream().noneMatch(span -> span.overlaps(fromMillis, untilMillis));
  }
}
