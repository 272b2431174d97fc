package org.marjoramsail.core.configuration;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Names one change that an operator ordered; the operator's side chooses it, so that a change whose
 * answer was lost can be sent again without taking effect twice.
 */
public record OrderId(@JsonValue String value) {

  /** Accepts a value that is not blank. */
  @JsonCreator
  public OrderId {
    if (value == null || value.isBlank()) {
      throw new IllegalArgumentException("An order identifier must not be blank.");
    }
  }

  @Override
  public String toString() {
    return value;
  }
}
