package org.marjoramsail.daemon.settings;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;

/** What the holder of an operator's token may do; each role may do what those before it may. */
public enum OperatorRole {
  /** Asks. */
  @JsonProperty("viewer")
  VIEWER,
  /** Also drains and returns servers and hosts, loads models and lifts quarantines. */
  @JsonProperty("operator")
  OPERATOR,
  /** Also changes the configuration. */
  @JsonProperty("administrator")
  ADMINISTRATOR;

  /** Whether this role may do what {@code other} may. */
  public boolean includes(OperatorRole other) {
    return compareTo(other) >= 0;
  }

  /** The role that settings name so. */
  static Optional<OperatorRole> ofCode(String code) {
    return Arrays.stream(values()).filter(value -> value.code().equals(code)).findFirst();
  }

  /** The role as settings and answers name it. */
  public String code() {
    return name().toLowerCase(Locale.ROOT);
  }
}
