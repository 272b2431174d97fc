package org.marjoramsail.core.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/** Name of one upstream, a single server, for as long as it is configured. */
public record UpstreamName(@JsonValue String value) implements Comparable<UpstreamName> {

  /** Rejects a blank value. */
  @JsonCreator
  public UpstreamName {
    if (value == null || value.isBlank()) {
      throw new IllegalArgumentException("An upstream name must not be blank.");
    }
  }

  @Override
  public int compareTo(UpstreamName other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
