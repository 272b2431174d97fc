package org.marjoramsail.daemon.forward;

import org.marjoramsail.core.failure.Refusal;
import org.marjoramsail.core.failure.RefusalReason;
import org.marjoramsail.core.model.Repeatability;
import org.marjoramsail.core.routing.RunTimes;
import org.marjoramsail.core.time.Clock;

/** What a server does with requests while its daemon stops. Used on one event loop. */
final class StopState {

  /** The refusal of requests that come too late to be completed. */
  static final Refusal REFUSAL =
      Refusal.notRun(RefusalReason.STOPPING, "This daemon takes nothing more.", 50);

  private final Clock clock;
  private final RunTimes runTimes;
  private boolean announced;
  private long refuseFromMillis = Long.MAX_VALUE;
  private long refuseAllFromMillis = Long.MAX_VALUE;

  /**
   * Creates the state of a daemon that does not stop.
   *
   * @param runTimes estimates how long requests run
   */
  StopState(Clock clock, RunTimes runTimes) {
    this.clock = clock;
    this.runTimes = runTimes;
  }

  /**
   * Announces the stop in each response, and refuses requests that come too late.
   *
   * <p>Both times count by the clock: the timer of a busy event loop may fire seconds later, and a
   * request that is passed on meanwhile might not end before the process.
   *
   * @param refuseFromMillis time from which requests are refused of which the head is read
   * @param refuseAllFromMillis time from which those are refused, too, whose body is being read
   */
  void announce(long refuseFromMillis, long refuseAllFromMillis) {
    announced = true;
    this.refuseFromMillis = refuseFromMillis;
    this.refuseAllFromMillis = refuseAllFromMillis;
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

  /** Returns whether a request that starts now should end before the limit of the stop. */
  boolean mayStart(String route, Repeatability repeatability) {
    return !announced
        || clock.millis() + runTimes.longestMillis(route, repeatability) <= refuseAllFromMillis;
  }

  /** Refuses requests that are not registered yet, such as those whose body is being read. */
  void refuseUnregistered() {
    refuse();
    refuseAllFromMillis = Long.MIN_VALUE;
  }

  /** Returns whether requests are refused that are not registered yet. */
  boolean isRefusingUnregistered() {
    return clock.millis() >= refuseAllFromMillis;
  }
}
