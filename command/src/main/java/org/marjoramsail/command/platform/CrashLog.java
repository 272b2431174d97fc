package org.marjoramsail.command.platform;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Counts requests that reach servers although a cause that they share, such as their content, has
 * crashed several servers. Not thread-safe.
 */
final class CrashLog {

  /**
   * Limits for requests that share a cause of crashes.
   *
   * @param crashes crashes after which such requests have to be refused
   * @param sends requests that may still reach servers
   * @param settleMillis time after the last of these crashes in which requests are not counted
   */
  record Bound(int crashes, int sends, long settleMillis) {}

  /** Bound for requests with the same path and body. */
  static final Bound CONTENT = new Bound(3, 3, 3_000);

  /** Arrivals of one request. */
  private static final class Sends {
    private int prefills;
    private int runs;

    /** Returns the number of sends; a prefill and the run that follows it are one. */
    int count() {
      return Math.max(prefills, runs);
    }
  }

  /**
   * Crashes by one cause, and the requests with it that arrived although they had to be refused.
   */
  private static final class Cause {
    private final List<Long> crashes = new ArrayList<>();
    private final Map<String, Sends> late = new HashMap<>();

    int lateSends() {
      return late.values().stream().mapToInt(Sends::count).sum();
    }
  }

  private final Bound bound;
  private final Map<String, Cause> causes = new HashMap<>();
  private final Map<String, String> causeOfRequests = new HashMap<>();

  CrashLog(Bound bound) {
    this.bound = bound;
  }

  /** Records that a caller sends a request with a cause of crashes. */
  void requested(String request, String cause) {
    causes.computeIfAbsent(cause, name -> new Cause());
    causeOfRequests.put(request, cause);
  }

  /** Returns whether a request has a cause of crashes. */
  boolean isCrashing(String request) {
    return causeOfRequests.containsKey(request);
  }

  /** Records that a request has crashed a server. */
  void crashed(String request, long nowMillis) {
    causeOf(request).crashes.add(nowMillis);
  }

  /**
   * Records that a request arrives at a server.
   *
   * @param isInTouch whether its daemon had no fault recently, so that it had received the crash
   *     reports of others
   */
  void arrived(String request, boolean isPrefill, boolean isInTouch, long nowMillis) {
    if (!isCrashing(request) || !isInTouch) {
      return;
    }
    Cause cause = causeOf(request);
    boolean isLate =
        cause.crashes.size() >= bound.crashes()
            && nowMillis - cause.crashes.get(bound.crashes() - 1) > bound.settleMillis();
    if (isLate) {
      Sends sends = cause.late.computeIfAbsent(request, id -> new Sends());
      sends.prefills += isPrefill ? 1 : 0;
      sends.runs += isPrefill ? 0 : 1;
    }
  }

  private Cause causeOf(String request) {
    return causes.get(causeOfRequests.get(request));
  }

  /** Returns the result. */
  PlatformSoakReport.Crashes result() {
    List<String> excess = new ArrayList<>();
    causes.forEach(
        (name, cause) -> {
          if (cause.lateSends() > bound.sends()) {
            excess.add(name + ": " + cause.lateSends() + " sends, crashes " + cause.crashes.size());
          }
        });
    int crashes = causes.values().stream().mapToInt(cause -> cause.crashes.size()).sum();
    int most = causes.values().stream().mapToInt(cause -> cause.crashes.size()).max().orElse(0);
    int late = causes.values().stream().mapToInt(Cause::lateSends).sum();
    return new PlatformSoakReport.Crashes(
        causes.size(), causeOfRequests.size(), crashes, most, late, excess);
  }
}
