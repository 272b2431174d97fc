package org.marjoramsail.daemon.operator;

import java.util.List;
import java.util.Optional;

/** Words refusals of one field. */
final class OperatorProblems {

  private OperatorProblems() {}

  static AdministrationException of(
      AdministrationFailure failure,
      String field,
      String value,
      String allowed,
      Optional<String> nearest) {
    String hint = nearest.map(name -> "; did you mean " + name + "?").orElse("");
    return new AdministrationException(
        failure,
        field + ": \"" + value + "\" is not allowed; allowed: " + allowed + hint,
        List.of(new AdministrationException.Problem(field, value, allowed, nearest)));
  }
}
