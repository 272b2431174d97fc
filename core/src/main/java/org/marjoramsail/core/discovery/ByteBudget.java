package org.marjoramsail.core.discovery;

/**
 * Limits the average rate of transfers whose sizes are known only afterwards: one may start while
 * the budget is not used up, and may exceed it. Not safe for several threads.
 */
public final class ByteBudget {

  private static final double MILLIS_PER_SECOND = 1_000;

  private final double bytesPerMilli;
  private final double maximumBytes;
  private double leftBytes;
  private long refilledAtMillis;

  /**
   * Creates a full budget.
   *
   * @param bytesPerSecond average rate of the transfers
   * @param maximumBytes what may be transferred at once after a pause
   * @param nowMillis the current time
   */
  public ByteBudget(int bytesPerSecond, int maximumBytes, long nowMillis) {
    this.bytesPerMilli = bytesPerSecond / MILLIS_PER_SECOND;
    this.maximumBytes = maximumBytes;
    this.leftBytes = maximumBytes;
    this.refilledAtMillis = nowMillis;
  }

  /** Returns whether a transfer may start. */
  public boolean isAvailable(long nowMillis) {
    refill(nowMillis);
    return leftBytes > 0;
  }

  /** Records a transfer. */
  public void spend(int bytes, long nowMillis) {
    refill(nowMillis);
    leftBytes -= bytes;
  }

  private void refill(long nowMillis) {
    double elapsedMillis = Math.max(0, nowMillis - refilledAtMillis);
    refilledAtMillis = nowMillis;
    leftBytes = Math.min(maximumBytes, leftBytes + elapsedMillis * bytesPerMilli);
  }
}
