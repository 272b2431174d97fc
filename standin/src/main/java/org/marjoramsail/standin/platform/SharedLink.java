package org.marjoramsail.standin.platform;

/** A link of a limited rate that serves what is sent over it in order. */
final class SharedLink {

  private static final double MILLIS_PER_SECOND = 1_000;

  private final long bytesPerSecond;
  private double freeMillis;

  SharedLink(long bytesPerSecond) {
    this.bytesPerSecond = bytesPerSecond;
  }

  /** Books bytes and gives how many milliseconds from now they will be through. */
  synchronized long book(long bytes, long nowMillis) {
    double start = Math.max(freeMillis, (double) nowMillis);
    freeMillis = start + (double) bytes * MILLIS_PER_SECOND / (double) bytesPerSecond;
    return Math.max(0, (long) Math.ceil(freeMillis) - nowMillis);
  }
}
