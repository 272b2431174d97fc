package org.marjoramsail.command.capacity;

import java.util.Optional;

/**
 * A need of the target size against what there is for it.
 *
 * @param what what is needed, with its unit
 * @param needed how much; empty where no measurement carries it
 * @param allowed how much there is
 * @param breaks where it breaks, or why it was not measured
 * @param change what would lift the bound
 */
record Bound(String what, Optional<Double> needed, double allowed, String breaks, String change) {

  /** Whether more is needed than there is. */
  boolean isBroken() {
    return needed.filter(value -> value > allowed).isPresent();
  }
}
