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

  /**
   * Returns the identifier under which another attempt is placed while an earlier one still holds
   * the grant of this identifier.
   */
  public RequestId forAttempt(int attempt) {
    return new RequestId(value + "#" + attempt);
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
