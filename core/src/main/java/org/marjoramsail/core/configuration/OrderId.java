package org.marjoramsail.core.configuration;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifier of a change that an operator ordered. The operator's client chooses it, so that it can
 * repeat a change whose response was lost without applying it twice.
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
