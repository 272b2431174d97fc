package org.marjoramsail.command.explain;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.StringJoiner;

/**
 * One line of a daemon's log.
 *
 * @param at when it was written, by the wall clock of its host
 * @param source the file that it stands in
 * @param message what it says
 * @param request the request that it is about; empty text for none
 * @param fields its other fields, as {@code name=value}
 */
record LogLine(Instant at, String source, String message, String request, String fields) {

  private static final ObjectMapper JSON = new ObjectMapper();
  private static final Set<String> KNOWN =
      Set.of(
          "@timestamp",
          "@version",
          "message",
          "logger_name",
          "thread_name",
          "level",
          "level_value",
          "request");

  /** Reads a line; what stands before its first brace, as collectors write it, is passed over. */
  static Optional<LogLine> parse(String source, String text) {
    int brace = text.indexOf('{');
    if (brace < 0) {
      return Optional.empty();
    }
    try {
      JsonNode line = JSON.readTree(text.substring(brace));
      Instant at = Instant.parse(line.path("@timestamp").asText());
      StringJoiner fields = new StringJoiner(", ");
      for (Map.Entry<String, JsonNode> field : line.properties()) {
        if (!KNOWN.contains(field.getKey())) {
          fields.add(field.getKey() + "=" + plain(field.getValue()));
        }
      }
      return Optional.of(
          new LogLine(
              at,
              source,
              line.path("message").asText(),
              line.path("request").asText(""),
              fields.toString()));
    } catch (JsonProcessingException | DateTimeParseException notALine) {
      return Optional.empty();
    }
  }

  private static String plain(JsonNode value) {
    return value.isValueNode() ? value.asText() : value.toString();
  }

  /** Whether it says what the daemon began to believe, rather than what became of a request. */
  boolean isBelief() {
    return request.isEmpty();
  }
}
