package org.marjoramsail.daemon.request;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import org.marjoramsail.core.model.UpstreamName;

/** The first step and a bounded number of the latest steps of one request. */
final class RequestTrace {

  private static final int MAXIMUM_LATER_STEPS = 23;

  private final long receivedAtMillis;
  private Optional<UpstreamName> generatingUpstream = Optional.empty();
  private Optional<InterChunkGap> longestGap = Optional.empty();
  private long lastChunkAtMillis;
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
      generatingUpstream = upstream;
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

  /** Records that a chunk was sent to the caller; the first has the index zero. */
  void recordChunk(long nowMillis, int index) {
    long gapMillis = nowMillis - lastChunkAtMillis;
    boolean longer = longestGap.filter(known -> known.millis() >= gapMillis).isEmpty();
    if (index > 0 && longer && generatingUpstream.isPresent()) {
      longestGap = Optional.of(new InterChunkGap(index, gapMillis, generatingUpstream.get()));
    }
    lastChunkAtMillis = nowMillis;
  }

  /** Returns the longest inter-chunk gap so far; empty before the second chunk. */
  Optional<InterChunkGap> longestGap() {
    return longestGap;
  }

  List<TraceStep> steps() {
    List<TraceStep> steps = new ArrayList<>(later.size() + 1);
    first.ifPresent(steps::add);
    steps.addAll(later);
    return steps;
  }
}
