package org.marjoramsail.command.platform;

import java.util.Optional;
import org.marjoramsail.core.time.Clock;

/** Counts the results of requests that are sent soon after the store responds again. */
final class StoreReturns {

  /** Time after a return of the store in which requests are counted, in milliseconds. */
  static final long COUNTED_MILLIS = 3_000;

  private static final int SUCCESS_CLASS = 2;
  private static final int NO_ROOM = 429;
  private static final int NOT_NOW = 503;

  private final Clock clock;
  private Optional<Long> returnedAtMillis = Optional.empty();
  private int returns;
  private int requests;
  private int refused;
  private int failed;

  StoreReturns(Clock clock) {
    this.clock = clock;
  }

  /** Records that the store responds again. */
  void returned() {
    returns++;
    returnedAtMillis = Optional.of(clock.millis());
  }

  /** Returns whether a request that is sent now is counted. */
  boolean isRecent() {
    return returnedAtMillis.filter(at -> clock.millis() - at < COUNTED_MILLIS).isPresent();
  }

  /**
   * Records the result of a request that was counted as it was sent.
   *
   * @param status the status of a complete response; empty if there was none
   */
  void ended(Optional<Integer> status) {
    requests++;
    if (status.filter(code -> code == NO_ROOM || code == NOT_NOW).isPresent()) {
      refused++;
    } else if (status.filter(code -> code / 100 == SUCCESS_CLASS).isEmpty()) {
      failed++;
    }
  }

  /** Returns the counts so far. */
  PlatformSoakReport.StoreReturn result() {
    return new PlatformSoakReport.StoreReturn(returns, requests, refused, failed);
  }
}
