package org.marjoramsail.command.check;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.core.exc.StreamConstraintsException;
import com.fasterxml.jackson.core.io.JsonEOFException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.Optional;
import org.marjoramsail.platform.listing.ConfigurationReview;

/**
 * A configuration as JSON.
 *
 * @param source the file or URL
 * @param content the JSON object
 * @param duplicateField description of a field that an object states twice; the last value is kept
 */
record ConfigurationDocument(String source, ObjectNode content, Optional<String> duplicateField) {

  /** Maximum depth of objects and lists; configurations have 5 levels. */
  static final int MAXIMUM_DEPTH = 100;

  private static final int MAXIMUM_TEXT_LENGTH = 1 << 20;
  private static final String DUPLICATE = "Duplicate";

  private static final StreamReadConstraints CONSTRAINTS =
      StreamReadConstraints.builder()
          .maxNestingDepth(MAXIMUM_DEPTH)
          .maxStringLength(MAXIMUM_TEXT_LENGTH)
          .maxDocumentLength(ConfigurationBytes.MAXIMUM_BYTES)
          .build();

  private static final JsonMapper LENIENT = mapper(false);
  private static final JsonMapper STRICT = mapper(true);

  /**
   * Parses a configuration.
   *
   * @throws UnreadableConfigurationException if it is not a complete JSON object within the limits
   */
  static ConfigurationDocument parse(String source, byte[] bytes)
      throws UnreadableConfigurationException {
    try {
      return new ConfigurationDocument(source, object(source, STRICT, bytes), Optional.empty());
    } catch (JsonProcessingException failure) {
      if (!failure.getOriginalMessage().startsWith(DUPLICATE)) {
        throw describe(source, failure);
      }
      try {
        return new ConfigurationDocument(
            source, object(source, LENIENT, bytes), Optional.of(failure.getOriginalMessage()));
      } catch (JsonProcessingException later) {
        throw describe(source, later);
      }
    }
  }

  /** Returns a copy with what was stored, if this is an object as the store returns it. */
  ConfigurationDocument unwrapped() {
    return new ConfigurationDocument(
        source, (ObjectNode) ConfigurationReview.content(content), duplicateField);
  }

  private static ObjectNode object(String source, JsonMapper mapper, byte[] bytes)
      throws JsonProcessingException, UnreadableConfigurationException {
    try {
      JsonNode node = mapper.readTree(bytes);
      if (node instanceof ObjectNode object) {
        return object;
      }
      throw new UnreadableConfigurationException(
          source,
          bytes.length == 0 ? "it is empty" : "it is not a JSON object but " + node.getNodeType());
    } catch (JsonProcessingException failure) {
      throw failure;
    } catch (IOException failure) {
      throw new UnreadableConfigurationException(source, failure.getMessage());
    }
  }

  private static UnreadableConfigurationException describe(
      String source, JsonProcessingException failure) {
    String place =
        Optional.ofNullable(failure.getLocation())
            .map(
                location ->
                    " (line " + location.getLineNr() + ", column " + location.getColumnNr() + ")")
            .orElse("");
    String reason = failure.getOriginalMessage();
    if (failure instanceof StreamConstraintsException) {
      return new UnreadableConfigurationException(source, "it exceeds a limit: " + reason + place);
    }
    return failure instanceof JsonEOFException
        ? new UnreadableConfigurationException(source, "it is cut off: " + reason + place)
        : new UnreadableConfigurationException(source, "it is not JSON: " + reason + place);
  }

  private static JsonMapper mapper(boolean strict) {
    JsonFactory factory = JsonFactory.builder().streamReadConstraints(CONSTRAINTS).build();
    return JsonMapper.builder(factory)
        .configure(StreamReadFeature.STRICT_DUPLICATE_DETECTION, strict)
        .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
        .build();
  }
}
