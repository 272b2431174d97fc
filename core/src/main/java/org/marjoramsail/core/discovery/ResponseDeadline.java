package org.marjoramsail.core.discovery;

import java.util.OptionalLong;

/**
 * Decides when a call is given up whose response has not arrived in whole.
 *
 * <p>A response that makes progress is not given up, however large it is: what was received would
 * be requested again, so that a slow path would never transmit it. A response that stops, or that
 * is slower than {@value #MINIMUM_BYTES_PER_MILLI} bytes a millisecond on average, is given up. Not
 * safe for several threads.
 */
public final class ResponseDeadline {

  /** Average rate below which a response counts as stopped, in bytes a millisecond. */
  static final int MINIMUM_BYTES_PER_MILLI = 20;

  /** Time beyond that of the first byte after which any response is given up, in milliseconds. */
  static final long LONGEST_TRANSFER_MILLIS = 30_000;

  /**
   * Delay of a check from which on the event loop is assumed to have been busy, in milliseconds.
   */
  static final long LATE_CHECK_MILLIS = 50;

  /** Time to read what has arrived while the event loop was busy, in milliseconds. */
  static final long LATE_CHECK_GRACE_MILLIS = 100;

  private final long firstByteAtMillis;
  private final long silenceMillis;
  private long receivedBytes;
  private long receivedAtMillis;
  private long dueAtMillis;
  private boolean graceUsed;

  /**
   * Creates the deadline of a call.
   *
   * @param sentAtMillis when the call is sent
   * @param firstByteMillis time within which the response has to begin
   * @param silenceMillis longest pause within the response
   */
  public ResponseDeadline(long sentAtMillis, long firstByteMillis, long silenceMillis) {
    this.firstByteAtMillis = sentAtMillis + firstByteMillis;
    this.silenceMillis = silenceMillis;
    this.dueAtMillis = firstByteAtMillis;
  }

  /** Records a part of the response. */
  public void received(int bytes, long nowMillis) {
    receivedBytes += bytes;
    receivedAtMillis = nowMillis;
    graceUsed = false;
  }

  /**
   * Returns the time until the next check, in milliseconds; empty if the call is to be given up.
   * Has to be called again after that time.
   */
  public OptionalLong remainingMillis(long nowMillis) {
    boolean isLate = nowMillis - dueAtMillis >= LATE_CHECK_MILLIS;
    long deadline = deadlineMillis();
    if (nowMillis < deadline) {
      dueAtMillis = deadline;
      return OptionalLong.of(deadline - nowMillis);
    }
    if (isLate && !graceUsed) {
      graceUsed = true;
      dueAtMillis = nowMillis + LATE_CHECK_GRACE_MILLIS;
      return OptionalLong.of(LATE_CHECK_GRACE_MILLIS);
    }
    return OptionalLong.empty();
  }

  private long deadlineMillis() {
    if (receivedBytes == 0) {
      return firstByteAtMillis;
    }
    long byRate = firstByteAtMillis + receivedBytes / MINIMUM_BYTES_PER_MILLI;
    long bySize = firstByteAtMillis + LONGEST_TRANSFER_MILLIS;
    return Math.min(receivedAtMillis + silenceMillis, Math.min(byRate, bySize));
  }
}
