package org.marjoramsail.daemon.settings;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class PlatformBoundTest {

  private final ObjectMapper mapper = new ObjectMapper();

  @ParameterizedTest
  @CsvSource({
    "retryRatio, -0.5, 0",
    "retryRatio, 11, 10",
    "retrySlack, 1e300, 1e9",
    "retrySlack, null, 0",
    "graceSeconds, 0, 1",
    "graceSeconds, null, 5",
    "leaseMillis, -1, 0",
    "recoveryMillis, null, 3000",
    "drainMillis, 1e10, 3600000",
    "heartbeatMillis, null, 500",
    "processorShare, 0, 0.001",
    "processorSpeed, null, 1"
  })
  void aNumberOutOfRangeIsReplacedByASafeOneAndTold(String field, String given, double used)
      throws Exception {
    // A platform writes an odd figure into the settings of every host of a fleet.
    // Refused, the same file would keep all of them from starting at once.
    // The nearest safe number is used instead, and each host says so in its log.
    JsonNode document = document(field, given);

    assertThat(PlatformBound.adjustAll(document))
        .containsExactly(new SettingsAdjustment("/forwarding/" + field, given(given), used));
    assertThat(document.at("/forwarding/" + field).doubleValue()).isEqualTo(used);
  }

  @ParameterizedTest
  @CsvSource({"retrySlack, 37.096774193548384", "graceSeconds, 7.5", "leaseMillis, 0"})
  void aNumberInRangeIsLeftAlone(String field, String given) throws Exception {
    assertThat(PlatformBound.adjustAll(document(field, given))).isEmpty();
  }

  @Test
  void whatIsNoNumberIsLeftToTheSchema() throws Exception {
    JsonNode document = document("graceSeconds", "\"eight\"");

    assertThat(PlatformBound.adjustAll(document)).isEmpty();
    assertThat(document.at("/forwarding/graceSeconds").asText()).isEqualTo("eight");
  }

  private JsonNode document(String field, String value) throws Exception {
    JsonNode document =
        mapper.readTree(
            "{\"forwarding\": {\"retryRatio\": 0.2, \"retrySlack\": 54, \"graceSeconds\": 8,"
                + " \"leaseMillis\": 3000, \"recoveryMillis\": 3000, \"configurationMillis\": 2000,"
                + " \"drainMillis\": 2000, \"heartbeatMillis\": 1200,"
                + " \"processorShare\": 0.36, \"processorSpeed\": 1}}");
    ((com.fasterxml.jackson.databind.node.ObjectNode) document.path("forwarding"))
        .set(field, mapper.readTree(value));
    return document;
  }

  private String given(String value) throws Exception {
    return mapper.readTree(value).toString();
  }
}
