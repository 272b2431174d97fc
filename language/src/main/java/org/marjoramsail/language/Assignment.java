package org.marjoramsail.language;

import java.util.List;
import java.util.stream.Collectors;

/**
 * Sets a field.
 *
 * @param field the field, which accepts the value
 * @param value what it is set to
 */
public record Assignment(ObjectField field, FieldValue value) {

  static String canonical(List<Assignment> assignments) {
    return assignments.stream()
        .map(assignment -> assignment.field.name() + " = " + assignment.value.canonical())
        .collect(Collectors.joining(", ", " with ", ""));
  }
}
