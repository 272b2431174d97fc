package org.marjoramsail.daemon.settings;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.regex.Pattern;

/** Reads the fields of one JSON object, and notices any that is not plainly right. */
final class SettingsFields {

  private static final Pattern NAME = Pattern.compile("[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?");
  private static final int MAXIMUM_ENTRIES = 1_000;

  private final JsonNode object;
  private final Set<String> read = new HashSet<>();

  private SettingsFields(JsonNode object) {
    this.object = object;
  }

  /** Reads an object whose every field {@code decoder} asks for. */
  static <T> T read(JsonNode object, Decoder<T> decoder) throws UnclearSettingsException {
    if (!object.isObject()) {
      throw new UnclearSettingsException();
    }
    SettingsFields fields = new SettingsFields(object);
    T value = decoder.decode(fields);
    if (fields.read.size() != object.size()) {
      throw new UnclearSettingsException();
    }
    return value;
  }

  /** Makes a value of the fields of an object. */
  @FunctionalInterface
  interface Decoder<T> {
    /** Reads every field that the object may have. */
    T decode(SettingsFields fields) throws UnclearSettingsException;
  }

  <T> T object(String field, Decoder<T> decoder) throws UnclearSettingsException {
    return read(needed(field), decoder);
  }

  <T> Optional<T> optionalObject(String field, Decoder<T> decoder) throws UnclearSettingsException {
    Optional<JsonNode> given = given(field);
    return given.isPresent() ? Optional.of(read(given.get(), decoder)) : Optional.empty();
  }

  <T> List<T> objects(String field, Decoder<T> decoder) throws UnclearSettingsException {
    Optional<JsonNode> list = given(field);
    if (list.isEmpty()) {
      return List.of();
    }
    if (!list.get().isArray() || list.get().size() > MAXIMUM_ENTRIES) {
      throw new UnclearSettingsException();
    }
    List<T> values = new ArrayList<>();
    for (JsonNode entry : list.get()) {
      values.add(read(entry, decoder));
    }
    return values;
  }

  String name(String field) throws UnclearSettingsException {
    return name(needed(field));
  }

  Optional<String> optionalName(String field) throws UnclearSettingsException {
    Optional<JsonNode> given = given(field);
    return given.isPresent() ? Optional.of(name(given.get())) : Optional.empty();
  }

  String text(String field, int shortest, int longest) throws UnclearSettingsException {
    String text = textOf(needed(field));
    int length = text.codePointCount(0, text.length());
    return clear(text, length >= shortest && length <= longest);
  }

  String text(String field, Pattern pattern) throws UnclearSettingsException {
    String text = textOf(needed(field));
    return clear(text, pattern.matcher(text).matches());
  }

  <T> T choice(String field, T whereAbsent, Function<String, Optional<T>> codes)
      throws UnclearSettingsException {
    Optional<JsonNode> given = given(field);
    return given.isEmpty()
        ? whereAbsent
        : codes.apply(textOf(given.get())).orElseThrow(UnclearSettingsException::new);
  }

  boolean flag(String field) throws UnclearSettingsException {
    JsonNode value = needed(field);
    return clear(value.booleanValue(), value.isBoolean());
  }

  Optional<Boolean> optionalFlag(String field) throws UnclearSettingsException {
    return given(field).isPresent() ? Optional.of(flag(field)) : Optional.empty();
  }

  double number(String field, double lowest, double highest) throws UnclearSettingsException {
    JsonNode value = needed(field);
    double number = value.doubleValue();
    return clear(number, value.isNumber() && number >= lowest && number <= highest);
  }

  long whole(String field, long lowest, long highest) throws UnclearSettingsException {
    return whole(needed(field), lowest, highest);
  }

  long whole(String field, long whereAbsent, long lowest, long highest)
      throws UnclearSettingsException {
    Optional<JsonNode> given = given(field);
    return given.isEmpty() ? whereAbsent : whole(given.get(), lowest, highest);
  }

  /** The names of all fields, for an object whose names are not known beforehand. */
  List<String> names() {
    List<String> names = new ArrayList<>();
    object.fieldNames().forEachRemaining(names::add);
    return names;
  }

  private static long whole(JsonNode value, long lowest, long highest)
      throws UnclearSettingsException {
    long number = value.longValue();
    boolean isWhole = value.canConvertToExactIntegral() && value.canConvertToLong();
    return clear(number, isWhole && number >= lowest && number <= highest);
  }

  private static String name(JsonNode value) throws UnclearSettingsException {
    String text = textOf(value);
    return clear(text, NAME.matcher(text).matches());
  }

  private static String textOf(JsonNode value) throws UnclearSettingsException {
    return clear(value.asText(), value.isTextual());
  }

  private JsonNode needed(String field) throws UnclearSettingsException {
    return given(field).orElseThrow(UnclearSettingsException::new);
  }

  private Optional<JsonNode> given(String field) {
    Optional<JsonNode> value = Optional.ofNullable(object.get(field));
    value.ifPresent(present -> read.add(field));
    return value;
  }

  private static <T> T clear(T value, boolean isClear) throws UnclearSettingsException {
    if (!isClear) {
      throw new UnclearSettingsException();
    }
    return value;
  }
}
