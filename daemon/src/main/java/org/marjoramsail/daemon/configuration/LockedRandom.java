package org.marjoramsail.daemon.configuration;

import java.util.random.RandomGenerator;

/** Lets several threads share one random generator. */
final class LockedRandom implements RandomGenerator {

  private final RandomGenerator random;

  LockedRandom(RandomGenerator random) {
    this.random = random;
  }

  @Override
  public synchronized long nextLong() {
    return random.nextLong();
  }
}
