package org.marjoramsail.daemon.settings;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;

/** How a log line looks. */
public enum LogFormat {
  /** One readable line. */
  @JsonProperty("text")
  TEXT,
  /** One JSON object a line, with the key-value pairs as fields. */
  @JsonProperty("json")
  JSON;

  /** The format that settings name so. */
  static Optional<LogFormat> ofCode(String code) {
    return Arrays.stream(values()).filter(value -> value.code().equals(code)).findFirst();
  }

  private String code() {
    return name().toLowerCase(Locale.ROOT);
  }
}
