package org.marjoramsail.core.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/** Identifier of one request of a caller, across its attempts and across daemons. */
public record RequestId(@JsonValue String value) implements Comparable<RequestId> {

  /** Rejects a blank value. */
  @JsonCreator
  public RequestId {
    if (value == null || value.isBlank()) {
      throw new IllegalArgumentException("A request identifier must not be blank.");
    }
  }

  @Override
  public int compareTo(RequestId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
