package org.marjoramsail.command.capacity;

import java.util.List;
import java.util.Optional;

/**
 * One line of a table.
 *
 * @param subject the role or the figure
 * @param quantity what is counted, with its unit
 * @param values one for each fleet; empty where no measurement carries it
 * @param mechanism what carries it, or why it was not measured
 */
record CapacityRow(
    String subject, String quantity, List<Optional<Double>> values, String mechanism) {

  CapacityRow {
    values = List.copyOf(values);
  }
}
