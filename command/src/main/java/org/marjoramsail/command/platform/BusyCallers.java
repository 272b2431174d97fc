package org.marjoramsail.command.platform;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpMethod;
import java.net.ConnectException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.marjoramsail.core.time.Clock;
import org.marjoramsail.daemon.settings.Endpoint;
import org.marjoramsail.platform.standin.CallerStandIn;
import org.marjoramsail.platform.standin.CallerStandIn.Answer;
import org.marjoramsail.platform.standin.PlatformStandIn;

/**
 * Callers of one daemon that send each request as soon as the one before has ended, on connections
 * that they keep, until the daemon refuses connections. Safe for several threads.
 */
final class BusyCallers {

  /**
   * A call without a complete response.
   *
   * @param request the identifier of the request
   * @param path the path of its route
   * @param sentAtMillis when it was sent
   * @param lastedMillis how long its caller waited
   * @param cause what its caller saw
   */
  record Unanswered(
      String request, String path, long sentAtMillis, long lastedMillis, String cause) {}

  private static final int OK = 200;
  private static final int NOT_NOW = 503;

  /** Time within which callers want a response: longer than any stop of a daemon. */
  private static final String DEADLINE_MILLIS = "10000";

  private final Clock clock;
  private final CallerStandIn caller;
  private final Endpoint daemon;
  private final String name;
  private final List<Unanswered> unanswered = new ArrayList<>();
  private final List<String> refused = new ArrayList<>();
  private int sequence;
  private int answered;
  private int running;
  private boolean isEnded;

  /**
   * Creates callers that send nothing yet.
   *
   * @param daemon where the daemon takes callers
   * @param name prefix of the identifiers of their requests
   */
  BusyCallers(Vertx vertx, Clock clock, Endpoint daemon, String name) {
    this.clock = clock;
    this.caller = new CallerStandIn(vertx, daemon.address(), clock);
    this.daemon = daemon;
    this.name = name;
  }

  /** Starts a number of callers of a route. */
  synchronized void start(int callers, String path) {
    for (int number = 0; number < callers; number++) {
      running++;
      send(path);
    }
  }

  /** Sends no further requests. */
  synchronized void end() {
    isEnded = true;
  }

  /** Returns whether no caller waits for a response. */
  synchronized boolean isIdle() {
    return running == 0;
  }

  /** Returns the number of requests with a complete and successful response. */
  synchronized int answered() {
    return answered;
  }

  /** Returns the identifiers of the requests that were refused. */
  synchronized List<String> refused() {
    return List.copyOf(refused);
  }

  /** Returns the requests without a complete response, and those that failed. */
  synchronized List<Unanswered> unanswered() {
    return List.copyOf(unanswered);
  }

  private synchronized void send(String path) {
    String request = name + "-" + sequence++;
    long sentAtMillis = clock.millis();
    caller
        .call(
            daemon.address(),
            daemon.port(),
            HttpMethod.POST,
            PlatformStandIn.HOST,
            path + request,
            Map.of(CallerStandIn.ATTEMPT, request, "deadline-ms", DEADLINE_MILLIS))
        .onSuccess(answer -> answered(request, path, sentAtMillis, answer))
        .onFailure(cause -> failed(request, path, sentAtMillis, cause));
  }

  private synchronized void answered(
      String request, String path, long sentAtMillis, Answer answer) {
    if (!answer.whole()) {
      lost(request, path, sentAtMillis, "response broken off");
    } else if (answer.status() == OK) {
      answered++;
    } else if (answer.status() == NOT_NOW) {
      refused.add(request);
    } else {
      lost(request, path, sentAtMillis, "status " + answer.status());
    }
    next(path);
  }

  private synchronized void failed(
      String request, String path, long sentAtMillis, Throwable cause) {
    if (cause instanceof ConnectException) {
      running--;
      return;
    }
    lost(request, path, sentAtMillis, String.valueOf(cause.getMessage()));
    next(path);
  }

  private void lost(String request, String path, long sentAtMillis, String cause) {
    unanswered.add(
        new Unanswered(request, path, sentAtMillis, clock.millis() - sentAtMillis, cause));
  }

  private void next(String path) {
    if (isEnded) {
      running--;
    } else {
      send(path);
    }
  }
}
