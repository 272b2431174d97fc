package org.marjoramsail.daemon.main;

import static org.assertj.core.api.Assertions.assertThat;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.LoggingEvent;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.slf4j.event.KeyValuePair;

class JsonLineEncoderTest {

  private final JsonLineEncoder encoder = new JsonLineEncoder();

  @Test
  void aLineHasItsPairsAsFieldsOfTheirOwnType() throws Exception {
    LoggingEvent event = event("placed \"here\"");
    event.setKeyValuePairs(
        List.of(
            new KeyValuePair("count", 7),
            new KeyValuePair("share", 0.5),
            new KeyValuePair("fenced", true),
            new KeyValuePair("names", List.of("a", "b")),
            new KeyValuePair("absent", null),
            new KeyValuePair("level", Level.WARN)));

    JsonNode line = decode(event);

    assertThat(line.path("@timestamp").asText()).isEqualTo("2026-12-03T04:00:00.250Z");
    assertThat(line.path("message").asText()).isEqualTo("placed \"here\"");
    assertThat(line.path("logger_name").asText()).isEqualTo("a.b.Placer");
    assertThat(line.path("count").isIntegralNumber()).isTrue();
    assertThat(line.path("share").asDouble()).isEqualTo(0.5);
    assertThat(line.path("fenced").isBoolean()).isTrue();
    assertThat(line.path("names").size()).isEqualTo(2);
    assertThat(line.path("absent").asText()).isEqualTo("null");
  }

  @Test
  void aFailureIsPartOfItsLine() throws Exception {
    LoggingEvent event = event("failed");
    event.setThrowableProxy(
        new ch.qos.logback.classic.spi.ThrowableProxy(new IllegalStateException("out of\nroom")));

    String text = new String(encoder.encode(event), StandardCharsets.UTF_8);

    assertThat(text).endsWith("}\n").doesNotContain("\n{");
    assertThat(text.indexOf('\n')).isEqualTo(text.length() - 1);
    assertThat(decode(event).path("stack_trace").asText())
        .contains("IllegalStateException: out of\nroom");
  }

  @Test
  void theTextFormatShowsTheSame() {
    LoggingEvent event = event("placed");
    event.setKeyValuePairs(List.of(new KeyValuePair("count", 7)));

    assertThat(new String(new TextLineEncoder().encode(event), StandardCharsets.UTF_8))
        .isEqualTo("2026-12-03T04:00:00.250Z INFO Placer placed count=\"7\"\n");
  }

  private JsonNode decode(LoggingEvent event) throws Exception {
    return new ObjectMapper().readTree(encoder.encode(event));
  }

  private static LoggingEvent event(String message) {
    LoggingEvent event = new LoggingEvent();
    event.setLoggerContext(new LoggerContext());
    event.setLoggerName("a.b.Placer");
    event.setLevel(Level.INFO);
    event.setThreadName("loop");
    event.setInstant(java.time.Instant.parse("2026-12-03T04:00:00.250Z"));
    event.setMessage(message);
    return event;
  }
}
