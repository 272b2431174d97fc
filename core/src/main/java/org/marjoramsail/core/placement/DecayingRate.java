package org.marjoramsail.core.placement;

/** Rate of an amount a millisecond, with an exponentially decaying weight of past amounts. */
final class DecayingRate {

  private static final double MEMORY_MILLIS = 5_000;

  private double amount;
  private long atMillis;

  void add(double more, long nowMillis) {
    amount = decayed(nowMillis) + more;
    atMillis = Math.max(atMillis, nowMillis);
  }

  double perMilli(long nowMillis) {
    return decayed(nowMillis) / MEMORY_MILLIS;
  }

  private double decayed(long nowMillis) {
    return amount * Math.exp(-Math.max(0, nowMillis - atMillis) / MEMORY_MILLIS);
  }
}
