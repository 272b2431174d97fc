package org.marjoramsail.daemon.forward;

import org.marjoramsail.core.failure.Refusal;
import org.marjoramsail.core.failure.RefusalReason;
import org.marjoramsail.core.time.Clock;

/** What a server does with requests while its daemon stops. Used on one event loop. */
final class StopState {

  /** The refusal of requests that come too late to be completed. */
  static final Refusal REFUSAL =
      Refusal.notRun(RefusalReason.STOPPING, "This daemon takes nothing more.", 50);

  private final Clock clock;
  private boolean announced;
  private boolean refusingUnregistered;
  private long refuseFromMillis = Long.MAX_VALUE;

  StopState(Clock clock) {
    this.clock = clock;
  }

  /**
   * Announces the stop in each response, and refuses requests that are read after a time.
   *
   * <p>The time counts by the clock: the timer of a busy event loop may fire seconds later, and a
   * request that is passed on meanwhile might not end before the process.
   */
  void announce(long refuseFromMillis) {
    announced = true;
    this.refuseFromMillis = refuseFromMillis;
  }

  /** Returns whether responses announce the close of their connections. */
  boolean isAnnounced() {
    return announced;
  }

  /** Refuses new requests from now on. */
  void refuse() {
    refuseFromMillis = Long.MIN_VALUE;
  }

  /** Returns whether new requests are refused. */
  boolean isRefusing() {
    return clock.millis() >= refuseFromMillis;
  }

  /** Refuses requests that are not registered yet, such as those whose body is being read. */
  void refuseUnregistered() {
    refuse();
    refusingUnregistered = true;
  }

  /** Returns whether requests are refused that are not registered yet. */
  boolean isRefusingUnregistered() {
    return refusingUnregistered;
  }
}
