package org.marjoramsail.core.outcome;

import java.util.Arrays;
import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import org.marjoramsail.core.model.RequestId;

/** Checks invariants at run time: throws in tests and the demo, counts in production. */
public final class Invariants {

  /** What a violation does. */
  public enum Mode {
    /** Throws, so that a test or the demo fails. */
    THROW,
    /** Counts, so that a caller is still served. */
    COUNT
  }

  private final Mode mode;
  private final Map<Invariant, AtomicLong> violations = new EnumMap<>(Invariant.class);

  /** Creates an instance with what a violation does. */
  public Invariants(Mode mode) {
    this.mode = mode;
    Arrays.stream(Invariant.values()).forEach(one -> violations.put(one, new AtomicLong()));
  }

  /**
   * Checks one invariant.
   *
   * @return whether it holds
   * @throws InvariantViolationException when it does not hold in mode {@code THROW}
   */
  public boolean check(boolean holds, Invariant invariant, RequestId request) {
    if (holds) {
      return true;
    }
    violations.get(invariant).incrementAndGet();
    if (mode == Mode.THROW) {
      throw new InvariantViolationException(invariant, request);
    }
    return false;
  }

  /** How often an invariant did not hold. */
  public long violations(Invariant invariant) {
    return violations.get(invariant).get();
  }
}
