package org.marjoramsail.command.platform;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;
import org.marjoramsail.platform.standin.CallerStandIn;

/**
 * Detects calls that daemons left without a complete response, also while they stop or reload.
 *
 * <p>Calls are judged at the end of a soak, since some disturbances are recorded after the calls
 * that they break off. Not thread-safe.
 */
final class LossLog {

  /** Minimum time between a request and the end of its connection for a call to count as lost. */
  private static final long SLACK_MILLIS = 200;

  /** Time after which the platform kills a process that was told to stop. */
  private static final long GRACE_MILLIS = 8_000;

  /** Time after the signal for a stop, or for a reload, to which calls are assigned. */
  private static final long STOP_MILLIS = GRACE_MILLIS + 1_000;

  private static final long RELOAD_MILLIS = 2_000;

  /** Time after the stop signal in which calls are sent that may be cut off as the grace ends. */
  private static final long LONG_CALLS_MILLIS = 3_000;

  /** Time after the stop signal from which those calls may be cut off. */
  private static final long LAST_SIXTH_MILLIS = GRACE_MILLIS * 5 / 6;

  /** Time after a disturbance in which calls are not judged. */
  private static final long SETTLE_MILLIS = 3_000;

  /** Time after the end of a call within which the crash of its server is recorded. */
  private static final long RECORD_MILLIS = 500;

  /** Name of the soak itself among the disturbed parts. */
  private static final String SOAK = "soak";

  /** Time within which the calls on one connection end that end with it. */
  private static final long SAME_END_MILLIS = 50;

  private record Sent(String host, int port, long atMillis) {
    boolean isOnConnectionOf(Sent other) {
      return host.equals(other.host) && port == other.port;
    }
  }

  private record Unanswered(
      String request, Sent sent, long endMillis, String cause, boolean isBehindClose) {
    long lastedMillis() {
      return endMillis - sent.atMillis();
    }

    /** Returns whether a call was sent before on the same connection and ended with it. */
    boolean isBehind(Unanswered other) {
      return sent.isOnConnectionOf(other.sent)
          && other.sent.atMillis() <= sent.atMillis()
          && Math.abs(other.endMillis - endMillis) <= SAME_END_MILLIS;
    }
  }

  private final DisturbedTimes disturbances = new DisturbedTimes();
  private final Map<String, List<Long>> stops = new HashMap<>();
  private final Map<String, List<Long>> reloads = new HashMap<>();
  private final Map<String, Sent> sent = new HashMap<>();
  private final Map<String, Set<String>> servers = new HashMap<>();
  private final List<Unanswered> unanswered = new ArrayList<>();
  private final List<Unanswered> brokenOffAfterDeadline = new ArrayList<>();
  private int givenUp;
  private int notSent;

  /** Records that a daemon is told to stop. */
  void stopBegins(String host, long nowMillis) {
    stops.computeIfAbsent(host, name -> new ArrayList<>()).add(nowMillis);
  }

  /** Records that a daemon is told to read its settings again. */
  void reloadBegins(String host, long nowMillis) {
    reloads.computeIfAbsent(host, name -> new ArrayList<>()).add(nowMillis);
  }

  /** Records that an unplanned disturbance of a host, a server or a path to it begins. */
  void disturbanceBegins(String part, long nowMillis) {
    disturbances.begin(part, nowMillis);
  }

  /** Records that such a disturbance ends. */
  void disturbanceEnds(String part, long nowMillis) {
    disturbances.end(part, nowMillis);
  }

  /** Records that the process of the soak was delayed. */
  void stalled(long fromMillis, long untilMillis) {
    disturbances.add(SOAK, fromMillis, untilMillis);
  }

  /**
   * Records that the whole request of a call was sent.
   *
   * @param port the port of its caller, which identifies the connection
   */
  void sent(String request, String host, int port, long nowMillis) {
    sent.put(request, new Sent(host, port, nowMillis));
  }

  /** Records that a request arrives at a server. */
  void arrived(String request, String server) {
    servers.computeIfAbsent(request, id -> new LinkedHashSet<>()).add(server);
  }

  /**
   * Records that a call ends without a complete response.
   *
   * @param cause what the caller saw
   */
  void unanswered(String request, long nowMillis, String cause) {
    add(request, nowMillis, cause, false);
  }

  /**
   * Records that a call ends without a response behind one that announced the close of their
   * connection.
   *
   * @param cause what the caller saw
   */
  void unansweredBehindClose(String request, long nowMillis, String cause) {
    add(request, nowMillis, cause, true);
  }

  private void add(String request, long nowMillis, String cause, boolean isBehindClose) {
    // Of a request that was not sent, nothing can be lost.
    Optional.ofNullable(sent.get(request))
        .ifPresentOrElse(
            call -> unanswered.add(new Unanswered(request, call, nowMillis, cause, isBehindClose)),
            () -> notSent++);
  }

  /** Records that the connection of a call was refused, so that its request was not sent. */
  void refused(String request) {
    sent.remove(request);
    notSent++;
  }

  /** Records that a caller no longer waits for a response. */
  void gaveUp(String request) {
    if (sent.containsKey(request)) {
      givenUp++;
    }
  }

  /** Records that the response to a call is broken off whose caller no longer waits for it. */
  void brokenOffAfterDeadline(String request, long nowMillis) {
    Optional.ofNullable(sent.get(request))
        .ifPresent(
            call ->
                brokenOffAfterDeadline.add(new Unanswered(request, call, nowMillis, "", false)));
  }

  /** Returns the result. */
  PlatformSoakReport.Unanswered result() {
    List<UnansweredCall> lost = new ArrayList<>();
    List<UnansweredCall> notCounted = new ArrayList<>();
    int atDeadline = givenUp;
    List<UnansweredCall> disturbed = new ArrayList<>();
    for (Unanswered call : unanswered) {
      if (isAtDeadline(call) || isBehindDeadline(call) || isAtEndOfGrace(call)) {
        atDeadline++;
      } else if (isDisturbed(call)) {
        disturbed.add(describe(call, reason(call)));
      } else {
        UnansweredCall.Reason reason = reason(call);
        (reason.isLost() ? lost : notCounted).add(describe(call, reason));
      }
    }
    return new PlatformSoakReport.Unanswered(
        count(stops), count(reloads), lost, notCounted, atDeadline, disturbed, notSent);
  }

  private UnansweredCall.Reason reason(Unanswered call) {
    if (servers.containsKey(call.request())) {
      return UnansweredCall.Reason.PASSED_ON;
    }
    if (call.isBehindClose()) {
      return UnansweredCall.Reason.BEHIND_CLOSE;
    }
    return call.lastedMillis() > SLACK_MILLIS
        ? UnansweredCall.Reason.NOT_PASSED_ON
        : UnansweredCall.Reason.CROSSED;
  }

  private static int count(Map<String, List<Long>> signals) {
    return signals.values().stream().mapToInt(List::size).sum();
  }

  private static boolean isAtDeadline(Unanswered call) {
    return call.lastedMillis() >= CallerStandIn.DEADLINE_MILLIS;
  }

  /**
   * Returns whether a call that reached no server ended with a response before it on its connection
   * that was broken off at or after the deadline of its own call: such a response can only end with
   * its connection.
   */
  private boolean isBehindDeadline(Unanswered call) {
    return !servers.containsKey(call.request())
        && ahead(call)
            .anyMatch(other -> servers.containsKey(other.request()) && isAtDeadline(other));
  }

  /** Returns the calls before a call on its connection that ended with it. */
  private Stream<Unanswered> ahead(Unanswered call) {
    return Stream.concat(unanswered.stream(), brokenOffAfterDeadline.stream())
        .filter(other -> !other.request().equals(call.request()))
        .filter(call::isBehind);
  }

  /** Returns whether a server may still have been at work when the grace of its daemon ended. */
  private boolean isAtEndOfGrace(Unanswered call) {
    Optional<Long> stop = lastSignal(stops, call, STOP_MILLIS);
    return stop.isPresent()
        && servers.containsKey(call.request())
        && call.sent().atMillis() - stop.orElseThrow() <= LONG_CALLS_MILLIS
        && call.endMillis() - stop.orElseThrow() >= LAST_SIXTH_MILLIS;
  }

  private boolean isDisturbed(Unanswered call) {
    long fromMillis = call.sent().atMillis() - SETTLE_MILLIS;
    Set<String> parts = serversOf(call);
    parts.add(SOAK);
    parts.add(call.sent().host());
    return parts.stream()
        .anyMatch(part -> !disturbances.isCalm(part, fromMillis, call.endMillis() + RECORD_MILLIS));
  }

  /**
   * Returns the servers that a call depends on: its own, and for one that reached none those of the
   * calls before it on its connection. A response that a server breaks off ends its connection, and
   * with it requests that were not read.
   */
  private Set<String> serversOf(Unanswered call) {
    Set<String> own = new LinkedHashSet<>(servers.getOrDefault(call.request(), Set.of()));
    if (own.isEmpty()) {
      ahead(call).forEach(other -> own.addAll(servers.getOrDefault(other.request(), Set.of())));
    }
    return own;
  }

  private UnansweredCall describe(Unanswered call, UnansweredCall.Reason reason) {
    Optional<Long> stop = lastSignal(stops, call, STOP_MILLIS);
    Optional<Long> reload = lastSignal(reloads, call, RELOAD_MILLIS);
    UnansweredCall.Phase phase =
        stop.isPresent()
            ? UnansweredCall.Phase.STOP
            : reload.isPresent() ? UnansweredCall.Phase.RELOAD : UnansweredCall.Phase.CALM;
    return new UnansweredCall(
        call.request(),
        call.sent().host(),
        phase,
        reason,
        stop.or(() -> reload).orElse(0L),
        call.sent().atMillis(),
        call.lastedMillis(),
        call.cause());
  }

  /** Returns the time of the last signal before the end of a call, if it is not too long ago. */
  private static Optional<Long> lastSignal(
      Map<String, List<Long>> signals, Unanswered call, long withinMillis) {
    return signals.getOrDefault(call.sent().host(), List.of()).stream()
        .filter(atMillis -> atMillis <= call.endMillis())
        .filter(atMillis -> call.endMillis() - atMillis <= withinMillis)
        .max(Long::compare);
  }
}
