package org.marjoramsail.standin.platform;

import java.util.concurrent.atomic.AtomicInteger;

/** The faults that the stand-in was told to show; safe for several threads. */
final class Faults {

  private final AtomicInteger answersToLose = new AtomicInteger();
  private volatile boolean outage;
  private volatile long delayMillis;

  boolean isOutage() {
    return outage;
  }

  void setOutage(boolean begins) {
    outage = begins;
  }

  long delayMillis() {
    return delayMillis;
  }

  void setDelayMillis(long millis) {
    delayMillis = millis;
  }

  void loseAnswers(int writes) {
    answersToLose.set(writes);
  }

  boolean takeLostAnswer() {
    return answersToLose.getAndUpdate(left -> Math.max(0, left - 1)) > 0;
  }
}
