package org.marjoramsail.daemon.forward;

import io.vertx.core.http.HttpServerRequest;
import java.util.ArrayList;
import java.util.List;
import org.marjoramsail.core.failure.Refusal;
import org.marjoramsail.core.failure.RefusalReason;

/**
 * Holds requests that the routes in use would refuse while these are not known to be the newest. A
 * caller must not be told that a route does not exist, which it would not try again, if the route
 * may have been added. Runs on one event loop.
 */
final class UnconfirmedRequests {

  /** Longest time for which a request is held, in milliseconds. */
  private static final long LONGEST_HOLD_MILLIS = 500;

  /** Time in which the routes are likely to be read, in milliseconds. */
  private static final long RETRY_MILLIS = 500;

  private static final int MAXIMUM_HELD = 256;

  private record Held(HttpServerRequest request, Runnable decideAgain) {}

  private List<Held> held = new ArrayList<>();

  /** Returns whether a request may be held that has been here for some time. */
  boolean mayHold(long heldMillis) {
    return heldMillis < LONGEST_HOLD_MILLIS && held.size() < MAXIMUM_HELD;
  }

  /** Holds a request until the next tick; its body is not read meanwhile. */
  void hold(HttpServerRequest request, Runnable decideAgain) {
    request.pause();
    held.add(new Held(request, decideAgain));
  }

  /** Decides again on all requests; called several times a second. */
  void tick() {
    List<Held> due = held;
    held = new ArrayList<>();
    for (Held one : due) {
      HttpServerRequest request = one.request();
      if (request.response().closed()) {
        continue;
      }
      one.decideAgain().run();
      // The body may arrive at once, so that who reads it has to be known before.
      if (held.stream().noneMatch(again -> again.request().equals(request))) {
        request.resume();
      }
    }
  }

  /**
   * Returns the refusal of a request that was held too long.
   *
   * @param unrouted the refusal by routes that may be outdated
   */
  static Refusal refusal(Refusal unrouted) {
    return Refusal.notRun(
        RefusalReason.ROUTES_UNCONFIRMED,
        "The routes of this daemon may be outdated. " + unrouted.detail(),
        RETRY_MILLIS);
  }
}
