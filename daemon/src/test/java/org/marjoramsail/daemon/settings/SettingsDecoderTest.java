package org.marjoramsail.daemon.settings;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;

/** The quick decoder against the schema, which says what settings are. */
class SettingsDecoderTest {

  private static final String WHOLE =
      """
      {
        "host": {"name": "entry-1", "availabilityZone": "santiago-a", "region": "santiago"},
        "cluster": {"name": "cabildo", "key": "0123456789abcdef"},
        "listen": {
          "caller": {"address": "127.0.0.1", "port": 0},
          "operator": {"address": "127.0.0.1", "port": 8081},
          "peer": {"address": "127.0.0.1", "port": 8082}
        },
        "platform": {"address": "127.0.0.1", "port": 9000},
        "peers": [{"address": "10.0.0.2", "port": 8082}, {"address": "10.0.0.3", "port": 1}],
        "limits": {"bodyBytes": 1024, "headerBytes": 1024, "connections": 1,
          "callerIdleMillis": 1000, "threads": 3, "queueLength": 5, "leaveMillis": 0,
          "stopMillis": 1000},
        "placement": {"policy": "reserve"},
        "logging": {"level": "warn", "format": "json"},
        "administration": {"requestsPerSecond": 1, "bodyBytes": 1024, "tokens": [
          {"name": "night", "role": "viewer", "sha256": "HASH", "organisation": "rosario"}]},
        "tls": {"reloadMillis": 0, "caller": {"certificate": "a.pem", "key": "b.pem"}},
        "forwarding": {"ready": {"address": "127.0.0.1", "port": 8083},
          "relay": {"address": "127.0.0.1", "port": 8084},
          "regions": {"santiago-a": "santiago", "santiago-b": "santiago"},
          "retryRatio": 0.2, "retrySlack": 54.5, "graceSeconds": 7.5, "leaseMillis": 3000,
          "recoveryMillis": 3000, "configurationMillis": 2000, "drainMillis": 2000.5,
          "heartbeatMillis": 1200,
          "processorShare": 0.36, "processorSpeed": 2, "fenced": true, "warmUp": true}
      }
      """
          .replace("HASH", "ab".repeat(32));

  private static final JsonMapper MAPPER = JsonMapper.builder().addModule(new Jdk8Module()).build();
  private static final SettingsSchema SCHEMA = new SettingsSchema(MAPPER);

  @Test
  void settingsWithEveryFieldAreDecodedWithoutTheSchema() throws Exception {
    JsonNode document = MAPPER.readTree(WHOLE);

    assertThat(SCHEMA.problemsOf(document)).isEmpty();
    assertThat(SettingsDecoder.decode(document))
        .contains(MAPPER.treeToValue(document, Settings.class));
  }

  @Property(tries = 400, seed = "23")
  void whatTheDecoderAcceptsTheSchemaAcceptsWithTheSameValues(
      @ForAll int position, @ForAll("values") String value) throws Exception {
    JsonNode document = MAPPER.readTree(WHOLE);
    List<Place> places = placesIn(document);
    Place place = places.get(Math.floorMod(position, places.size()));
    place.put(MAPPER.readTree(value));

    Optional<Settings> decoded = SettingsDecoder.decode(document);

    if (decoded.isPresent()) {
      assertThat(SCHEMA.problemsOf(document)).as("%s", document).isEmpty();
      assertThat(decoded.get()).isEqualTo(new SettingsRecords(MAPPER).withDefaults(document));
    }
  }

  @Property(tries = 200, seed = "23")
  void aNumberIsAcceptedWhereverTheSchemaAcceptsIt(
      @ForAll int position, @ForAll("numbers") String value) throws Exception {
    JsonNode document = MAPPER.readTree(WHOLE);
    List<Place> places =
        placesIn(document).stream().filter(place -> place.value().isNumber()).toList();
    Place place = places.get(Math.floorMod(position, places.size()));
    place.put(MAPPER.readTree(value));

    assertThat(SettingsDecoder.decode(document).isPresent())
        .as("%s", document)
        .isEqualTo(SCHEMA.problemsOf(document).isEmpty());
  }

  @Test
  void aFieldThatIsNotKnownIsLeftToTheSchema() throws Exception {
    ObjectNode document = (ObjectNode) MAPPER.readTree(WHOLE);
    ((ObjectNode) document.path("host")).put("rack", "r1");

    assertThat(SettingsDecoder.decode(document)).isEmpty();
  }

  @Provide
  Arbitrary<String> values() {
    return Arbitraries.oneOf(
        numbers(),
        Arbitraries.of(
            "null",
            "true",
            "false",
            "{}",
            "[]",
            "\"\"",
            "\"a\"",
            "\"A\"",
            "\"-\"",
            "\"info\"",
            "\"json\"",
            "\"operator\"",
            "\"reserve\"",
            "\"a.b\"",
            "{\"a\": \"b\"}",
            "[1]"));
  }

  @Provide
  Arbitrary<String> numbers() {
    return Arbitraries.oneOf(
        Arbitraries.longs().between(-2, 2).map(String::valueOf),
        Arbitraries.longs().map(String::valueOf),
        Arbitraries.of("63", "64", "65", "1024", "65535", "65536", "86400000", "1e9", "1e10"),
        Arbitraries.doubles().between(-10, 100_000).map(String::valueOf));
  }

  private static List<Place> placesIn(JsonNode node) {
    List<Place> places = new ArrayList<>();
    if (node instanceof ObjectNode object) {
      object.fieldNames().forEachRemaining(field -> places.add(new Field(object, field)));
    } else if (node instanceof ArrayNode array) {
      for (int index = 0; index < array.size(); index++) {
        places.add(new Entry(array, index));
      }
    }
    List.copyOf(places).forEach(place -> places.addAll(placesIn(place.value())));
    return places;
  }

  /** Where a value of a document stands. */
  private interface Place {
    JsonNode value();

    void put(JsonNode value);
  }

  private record Field(ObjectNode object, String name) implements Place {
    @Override
    public JsonNode value() {
      return object.get(name);
    }

    @Override
    public void put(JsonNode value) {
      object.set(name, value);
    }
  }

  private record Entry(ArrayNode array, int index) implements Place {
    @Override
    public JsonNode value() {
      return array.get(index);
    }

    @Override
    public void put(JsonNode value) {
      array.set(index, value);
    }
  }
}
