package org.marjoramsail.daemon.settings;

import com.fasterxml.jackson.annotation.JsonProperty;

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
  ERROR
}
