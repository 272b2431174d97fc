package org.marjoramsail.daemon.request;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import org.marjoramsail.core.model.UpstreamName;

/** The latest steps of one request, bounded; its first step is always kept. */
final class RequestTrace {

  private static final int MAXIMUM_LATER_STEPS = 23;

  private final long receivedAtMillis;
  private Optional<UpstreamName> generating = Optional.empty();
  private Optional<StreamPause> longestPause = Optional.empty();
  private long lastPieceAtMillis;
  private Optional<TraceStep> first = Optional.empty();
  private final Deque<TraceStep> later = new ArrayDeque<>(4);

  RequestTrace(long receivedAtMillis) {
    this.receivedAtMillis = receivedAtMillis;
  }

  void add(
      long nowMillis,
      TraceKind kind,
      int attempt,
      Optional<UpstreamName> upstream,
      Optional<String> reason) {
    if (kind == TraceKind.DECODE_SENT) {
      generating = upstream;
    }
    TraceStep step = new TraceStep(nowMillis - receivedAtMillis, kind, attempt, upstream, reason);
    if (first.isEmpty()) {
      first = Optional.of(step);
      return;
    }
    if (later.size() == MAXIMUM_LATER_STEPS) {
      later.removeFirst();
    }
    later.addLast(step);
  }

  /** Records that the caller was given a piece; the first has the index zero. */
  void piece(long nowMillis, int index) {
    long pauseMillis = nowMillis - lastPieceAtMillis;
    boolean longer = longestPause.filter(known -> known.millis() >= pauseMillis).isEmpty();
    if (index > 0 && longer && generating.isPresent()) {
      longestPause = Optional.of(new StreamPause(index, pauseMillis, generating.get()));
    }
    lastPieceAtMillis = nowMillis;
  }

  /** The longest pause so far; empty before the second piece. */
  Optional<StreamPause> longestPause() {
    return longestPause;
  }

  List<TraceStep> steps() {
    List<TraceStep> steps = new ArrayList<>(later.size() + 1);
    first.ifPresent(steps::add);
    steps.addAll(later);
    return steps;
  }
}
