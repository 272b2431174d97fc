package org.marjoramsail.core.outcome;

import java.util.random.RandomGenerator;

/** Computes waits before retries: exponential with full jitter. */
final class BackOff {

  private static final int MAXIMUM_DOUBLINGS = 16;

  private final LifecyclePolicy policy;
  private final RandomGenerator random;
  private int retries;

  BackOff(LifecyclePolicy policy, RandomGenerator random) {
    this.policy = policy;
    this.random = random;
  }

  long nextMillis() {
    long doubled = policy.backOffMillis() << Math.min(retries, MAXIMUM_DOUBLINGS);
    retries++;
    return random.nextLong(Math.min(policy.backOffLimitMillis(), doubled) + 1);
  }
}
