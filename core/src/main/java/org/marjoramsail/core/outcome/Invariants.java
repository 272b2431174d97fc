package org.marjoramsail.core.outcome;

import java.util.Arrays;
import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import org.marjoramsail.core.model.RequestId;

/**
 * Checks invariants at run time: throws in tests and in the demo, counts violations in production.
 */
public final class Invariants {

  /** Effect of a violation. */
  public enum Mode {
    /** Throws, so that a test or the demo fails. */
    THROW,
    /** Counts, so that the caller is still served. */
    COUNT
  }

  private final Mode mode;
  private final Map<Invariant, AtomicLong> violations = new EnumMap<>(Invariant.class);

  /** Creates an instance with the effect of a violation. */
  public Invariants(Mode mode) {
    this.mode = mode;
    Arrays.stream(Invariant.values())
        .forEach(invariant -> violations.put(invariant, new AtomicLong()));
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

  /** Returns the number of violations of an invariant. */
  public long violations(Invariant invariant) {
    return violations.get(invariant).get();
  }
}
