package org.marjoramsail.daemon.forward;

/**
 * Times after which a relay gives up the sender of a call, in milliseconds.
 *
 * @param senderMillis how long a sender may neither send nor read anything while it is waited for
 * @param overdueMillis how long a call may go on after its deadline, at which its sender ends it
 * @param unstatedDeadlineMillis deadline of a call whose sender states none
 * @param unusedMillis how long a connection may be without a call; senders send one call as soon as
 *     they have connected, and keep no connection for another one
 */
record RelayTimeouts(
    long senderMillis, long overdueMillis, long unstatedDeadlineMillis, long unusedMillis) {

  /** Bound of deadlines, in milliseconds, so that no timer overflows. */
  private static final long MAXIMUM_DEADLINE_MILLIS = 24 * 60 * 60 * 1_000L;

  /** Returns the default times. */
  static RelayTimeouts defaults() {
    return new RelayTimeouts(60_000, 1_000, 60_000, 60_000);
  }

  /** Returns how long a call with the given parameters may take, from its head. */
  long callMillis(CallerParameters parameters) {
    long deadlineMillis = parameters.timeoutMillis().orElse(unstatedDeadlineMillis);
    return Math.min(deadlineMillis, MAXIMUM_DEADLINE_MILLIS) + overdueMillis;
  }
}
