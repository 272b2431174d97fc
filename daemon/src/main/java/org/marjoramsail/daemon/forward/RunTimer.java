package org.marjoramsail.daemon.forward;

import java.util.OptionalLong;
import java.util.function.ObjLongConsumer;
import org.marjoramsail.core.time.Clock;

/** Measures how long a request is with upstreams, all attempts together. */
final class RunTimer {

  private final Clock clock;
  private final ObjLongConsumer<String> runTimes;
  private final String route;
  private OptionalLong startedAtMillis = OptionalLong.empty();

  /**
   * Creates a timer that is not started.
   *
   * @param runTimes receives the duration of the request by its route, in milliseconds
   */
  RunTimer(Clock clock, ObjLongConsumer<String> runTimes, String route) {
    this.clock = clock;
    this.runTimes = runTimes;
    this.route = route;
  }

  /** Records that an attempt begins. */
  void started() {
    startedAtMillis = OptionalLong.of(startedAtMillis.orElseGet(clock::millis));
  }

  /** Records that the request was served. */
  void served() {
    startedAtMillis.ifPresent(started -> runTimes.accept(route, clock.millis() - started));
  }
}
