package org.marjoramsail.daemon.configuration;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.exc.InvalidFormatException;
import com.fasterxml.jackson.databind.exc.UnrecognizedPropertyException;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import java.util.Arrays;
import java.util.stream.Collectors;

/**
 * The JSON forms of configurations, changes and all that is kept of them.
 *
 * <p>Unknown fields, missing fields and values of another type are refused, so that a misspelt
 * field never passes for an absent one.
 */
public final class ConfigurationFormat {

  private static final ObjectMapper MAPPER =
      JsonMapper.builder()
          .addModule(new Jdk8Module())
          .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
          .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
          .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
          .enable(DeserializationFeature.FAIL_ON_NULL_CREATOR_PROPERTIES)
          .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
          .disable(DeserializationFeature.ACCEPT_FLOAT_AS_INT)
          .disable(MapperFeature.ALLOW_COERCION_OF_SCALARS)
          .build();

  private ConfigurationFormat() {}

  /** The JSON object of a record. */
  public static ObjectNode toTree(Record value) {
    return MAPPER.valueToTree(value);
  }

  /** The JSON text of a record. */
  public static String toText(Record value) {
    try {
      return MAPPER.writeValueAsString(value);
    } catch (JsonProcessingException failure) {
      throw new IllegalStateException("No JSON form of " + value.getClass(), failure);
    }
  }

  /**
   * Reads a record from a JSON object.
   *
   * @throws ConfigurationFormatException if it has not the form of that record
   */
  public static <T extends Record> T fromTree(ObjectNode tree, Class<T> type)
      throws ConfigurationFormatException {
    try {
      return MAPPER.treeToValue(tree, type);
    } catch (JsonProcessingException failure) {
      throw describe(failure);
    }
  }

  /**
   * Reads a record from a JSON text.
   *
   * @throws ConfigurationFormatException if it has not the form of that record
   */
  public static <T extends Record> T fromText(String text, Class<T> type)
      throws ConfigurationFormatException {
    try {
      return MAPPER.readValue(text, type);
    } catch (JsonProcessingException failure) {
      throw describe(failure);
    }
  }

  /** How many bytes a record takes as JSON. */
  static long sizeOf(Record value) {
    try {
      return MAPPER.writeValueAsBytes(value).length;
    } catch (JsonProcessingException failure) {
      throw new IllegalStateException("No JSON form of " + value.getClass(), failure);
    }
  }

  private static ConfigurationFormatException describe(JsonProcessingException failure) {
    String detail = failure.getOriginalMessage();
    if (failure instanceof UnrecognizedPropertyException unknown) {
      detail =
          "\""
              + unknown.getPropertyName()
              + "\" is not a field here; allowed: "
              + unknown.getKnownPropertyIds().stream()
                  .map(Object::toString)
                  .sorted()
                  .collect(Collectors.joining(", "));
    } else if (failure instanceof InvalidFormatException invalid
        && invalid.getTargetType().isEnum()) {
      detail =
          "\""
              + invalid.getValue()
              + "\" is not allowed; allowed: "
              + Arrays.stream(invalid.getTargetType().getEnumConstants())
                  .map(Object::toString)
                  .collect(Collectors.joining(", "));
    }
    return new ConfigurationFormatException(pathOf(failure), detail, failure);
  }

  private static String pathOf(JsonProcessingException failure) {
    if (!(failure instanceof JsonMappingException mapping)) {
      return "";
    }
    return mapping.getPath().stream()
        .map(
            step -> step.getFieldName() == null ? "[" + step.getIndex() + "]" : step.getFieldName())
        .collect(Collectors.joining("."));
  }
}
