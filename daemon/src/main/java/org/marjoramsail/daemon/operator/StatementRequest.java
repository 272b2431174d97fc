package org.marjoramsail.daemon.operator;

import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.JsonNodeType;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vertx.core.buffer.Buffer;
import java.io.IOException;
import java.util.Iterator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import org.marjoramsail.language.NearestName;

/**
 * The body of a statement.
 *
 * @param text what the operator says
 * @param dryRun whether orders are only tried
 * @param order names the order, so that the same again has no further effect
 * @param baseRevision the revision that the operator saw
 */
record StatementRequest(
    String text, boolean dryRun, Optional<String> order, Optional<Long> baseRevision) {

  private static final JsonMapper MAPPER =
      JsonMapper.builder()
          .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
          .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
          .build();

  private static final Map<String, JsonNodeType> FIELDS =
      Map.of(
          "text", JsonNodeType.STRING,
          "dryRun", JsonNodeType.BOOLEAN,
          "order", JsonNodeType.STRING,
          "baseRevision", JsonNodeType.NUMBER);

  static StatementRequest of(Buffer body) throws AdministrationException {
    ObjectNode object = object(body);
    for (Iterator<String> names = object.fieldNames(); names.hasNext(); ) {
      check(names.next(), object);
    }
    if (!object.has("text")) {
      throw AdministrationPaths.invalid("text", "", "a statement", Optional.empty());
    }
    return new StatementRequest(
        object.path("text").asText(),
        object.path("dryRun").asBoolean(),
        Optional.ofNullable(object.get("order")).map(JsonNode::asText),
        Optional.ofNullable(object.get("baseRevision")).map(JsonNode::asLong));
  }

  /** The body as one JSON object. */
  static ObjectNode object(Buffer body) throws AdministrationException {
    try {
      JsonNode node = MAPPER.readTree(body == null ? new byte[0] : body.getBytes());
      if (node instanceof ObjectNode object) {
        return object;
      }
      throw AdministrationPaths.invalid("body", "", "one JSON object", Optional.empty());
    } catch (IOException failure) {
      String detail = "one JSON object (" + failure.getClass().getSimpleName() + ")";
      throw AdministrationPaths.invalid("body", "", detail, Optional.empty());
    }
  }

  private static void check(String name, ObjectNode object) throws AdministrationException {
    JsonNodeType type = FIELDS.get(name);
    JsonNode value = object.get(name);
    if (type == null) {
      List<String> names = FIELDS.keySet().stream().sorted().toList();
      throw AdministrationPaths.invalid(
          name, value.toString(), String.join(", ", names), NearestName.of(name, names));
    }
    boolean isBlank = value.isTextual() && value.asText().isBlank();
    boolean isFraction =
        value.isNumber() && !(value.isIntegralNumber() && value.canConvertToLong());
    if (value.getNodeType() != type || isBlank || isFraction) {
      String allowed = "a JSON " + type.name().toLowerCase(Locale.ROOT);
      throw AdministrationPaths.invalid(name, value.toString(), allowed, Optional.empty());
    }
  }
}
