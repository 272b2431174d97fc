package org.marjoramsail.daemon.forward;

import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.marjoramsail.core.model.Incarnation;
import org.marjoramsail.core.model.UpstreamName;
import org.marjoramsail.core.time.Clock;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.event.Level;

/**
 * Tracks the calls in flight by upstream, and logs those that may still reach an upstream although
 * they were given up or although the upstream is draining. Runs on one event loop.
 */
final class CallLog {

  private static final Logger LOG = LoggerFactory.getLogger(CallLog.class);

  /** Time without a response after which an upstream may be out of reach, in milliseconds. */
  private static final long SILENCE_MILLIS = 500;

  private static final int FIRST_FAILURE_STATUS = 400;

  /** Statuses of rejections, which are frequent while upstreams are full. */
  private static final Set<Integer> REJECTIONS = Set.of(408, 421, 429, 503);

  private final Clock clock;
  private final Runnable receivedListener;
  private final LivenessListener liveness;
  private final ListAgeLog listAges;
  private final Map<Incarnation, Set<ForwardCall>> open = new HashMap<>();
  private Set<Incarnation> accepting = Set.of();
  private final Map<ResponseBound, Long> excessive = new EnumMap<>(ResponseBound.class);
  private final Map<ResponseOrigin, Long> responses = new EnumMap<>(ResponseOrigin.class);
  private long abandoned;
  private long written;
  private final Map<Incarnation, Long> receivedAtMillis = new HashMap<>();

  /**
   * Creates an empty log.
   *
   * @param receivedListener called whenever an upstream has sent something on a direct connection
   * @param liveness receives the upstreams that are reached
   * @param listAges records how old the list of upstreams is at each request
   */
  CallLog(Clock clock, Runnable receivedListener, LivenessListener liveness, ListAgeLog listAges) {
    this.clock = clock;
    this.listAges = listAges;
    this.receivedListener = receivedListener;
    this.liveness = liveness;
  }

  /** Returns the current time. */
  long millis() {
    return clock.millis();
  }

  /** Records a call that has started. */
  void started(ForwardCall call) {
    open.computeIfAbsent(call.upstream(), upstream -> new HashSet<>()).add(call);
  }

  /** Records a call whose request is being written. */
  void written(ForwardCall call) {
    written++;
    listAges.written(call);
  }

  /** Records a call that has ended or was given up. */
  void ended(ForwardCall call) {
    open.computeIfPresent(
        call.upstream(),
        (upstream, calls) -> {
          calls.remove(call);
          return calls.isEmpty() ? null : calls;
        });
  }

  /** Records a call that was given up after it was written and before any response. */
  void abandoned(ForwardCall call) {
    abandoned++;
    LOG.atInfo()
        .addKeyValue("request", call.request())
        .addKeyValue("upstream", call.upstream())
        .addKeyValue("localPort", call.localPort())
        .addKeyValue("writtenMillisAgo", clock.millis() - call.writtenAtMillis())
        .log("call given up before a response");
  }

  /** Records a call on a direct connection that was closed before its response ended. */
  void cut(ForwardCall call) {
    liveness.connectionLost(call.upstream().upstream());
  }

  /** Records a final response, and what becomes of its connection. */
  void responded(
      ForwardCall call,
      UpstreamConnection connection,
      int status,
      ResponseOrigin origin,
      boolean proven,
      ConnectionFate fate) {
    responses.merge(origin, 1L, Long::sum);
    boolean isFailure = status >= FIRST_FAILURE_STATUS && !REJECTIONS.contains(status);
    boolean isOrdinary = origin == ResponseOrigin.OWN && !isFailure && !fate.isOutOfStep();
    if (isOrdinary && !LOG.isDebugEnabled()) {
      return;
    }
    LOG.atLevel(isOrdinary ? Level.DEBUG : Level.INFO)
        .addKeyValue("request", call.request())
        .addKeyValue("upstream", call.upstream())
        .addKeyValue("connection", connection.serial())
        .addKeyValue("localPort", connection.localPort())
        .addKeyValue("position", connection.requests())
        .addKeyValue("status", status)
        .addKeyValue("identifier", origin.code())
        .addKeyValue("proven", proven)
        .addKeyValue("fate", fate.code())
        .log("upstream responded");
  }

  /** Returns the number of final responses by origin. */
  long responseCount(ResponseOrigin origin) {
    return responses.getOrDefault(origin, 0L);
  }

  /** Returns the number of requests that were written. */
  long writtenCount() {
    return written;
  }

  /** Records a response that was given up since it exceeded a bound. */
  void exceeded(ResponseBound bound) {
    excessive.merge(bound, 1L, Long::sum);
  }

  /** Returns the number of responses that exceeded a bound. */
  long exceededCount(ResponseBound bound) {
    return excessive.getOrDefault(bound, 0L);
  }

  /** Records that the upstream of a call has begun to respond on a direct connection. */
  void answered(ForwardCall call) {
    liveness.reached(call.upstream().upstream(), call.writtenAtMillis());
    received(call);
  }

  /** Records that the upstream of a call sent something on a direct connection. */
  void received(ForwardCall call) {
    receivedAtMillis.put(call.upstream(), clock.millis());
    receivedListener.run();
  }

  /**
   * Returns the upstreams with calls on direct connections that have been unanswered for some time
   * in which they sent nothing.
   */
  List<UpstreamName> silentUpstreams() {
    long sinceMillis = clock.millis() - SILENCE_MILLIS;
    receivedAtMillis.keySet().retainAll(open.keySet());
    return open.entrySet().stream()
        .filter(entry -> receivedAtMillis.getOrDefault(entry.getKey(), 0L) < sinceMillis)
        .filter(
            entry ->
                entry.getValue().stream().anyMatch(call -> call.isUnansweredSince(sinceMillis)))
        .map(entry -> entry.getKey().upstream())
        .toList();
  }

  /** Handles a change of the upstreams that accept requests; logs the calls on the others. */
  void accepting(Set<Incarnation> upstreams) {
    for (Incarnation upstream : accepting) {
      if (!upstreams.contains(upstream) && open.containsKey(upstream)) {
        logDraining(upstream);
      }
    }
    accepting = Set.copyOf(upstreams);
  }

  /** Returns the number of calls that were given up after they were written. */
  long abandonedCount() {
    return abandoned;
  }

  private void logDraining(Incarnation upstream) {
    int calls = 0;
    int unanswered = 0;
    long oldestAtMillis = clock.millis();
    for (ForwardCall call : open.get(upstream)) {
      calls++;
      if (call.isWritten() && !call.isAnswered()) {
        unanswered++;
        oldestAtMillis = Math.min(oldestAtMillis, call.writtenAtMillis());
      }
    }
    LOG.atInfo()
        .addKeyValue("upstream", upstream)
        .addKeyValue("calls", calls)
        .addKeyValue("unanswered", unanswered)
        .addKeyValue("longestUnansweredMillis", clock.millis() - oldestAtMillis)
        .log("upstream drains with calls in flight");
  }
}
