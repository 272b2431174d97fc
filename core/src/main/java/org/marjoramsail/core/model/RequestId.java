package org.marjoramsail.core.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/** Names one request of a caller, across its attempts and across daemons. */
public record RequestId(@JsonValue String value) implements Comparable<RequestId> {

  /** Accepts a value that is not blank. */
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
