package org.marjoramsail.core.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Version of the software that an upstream runs; the output of two versions does not fit together.
 */
public record SoftwareVersion(@JsonValue String value) implements Comparable<SoftwareVersion> {

  /** Rejects a blank value. */
  @JsonCreator
  public SoftwareVersion {
    if (value == null || value.isBlank()) {
      throw new IllegalArgumentException("A software version must not be blank.");
    }
  }

  @Override
  public int compareTo(SoftwareVersion other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
