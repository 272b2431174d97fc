package org.marjoramsail.daemon.settings;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;

/** The least severe lines that are logged. */
public enum LogLevel {
  /** Everything that helps to find a fault. */
  @JsonProperty("debug")
  DEBUG,
  /** Changes of state. */
  @JsonProperty("info")
  INFO,
  /** What an operator should look at. */
  @JsonProperty("warn")
  WARN,
  /** What does not work. */
  @JsonProperty("error")
  ERROR;

  /** The level that settings name so. */
  static Optional<LogLevel> ofCode(String code) {
    return Arrays.stream(values()).filter(value -> value.code().equals(code)).findFirst();
  }

  private String code() {
    return name().toLowerCase(Locale.ROOT);
  }
}
