package org.marjoramsail.daemon.settings;

import com.fasterxml.jackson.annotation.JsonProperty;

/** How a log line looks. */
public enum LogFormat {
  /** One readable line. */
  @JsonProperty("text")
  TEXT,
  /** One JSON object a line, with the key-value pairs as fields. */
  @JsonProperty("json")
  JSON
}
