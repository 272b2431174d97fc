package org.marjoramsail.language;

import java.util.Arrays;
import java.util.List;
import java.util.Locale;

/**
 * A field of an object of the configuration.
 *
 * @param name as operators write it: lower case with hyphens
 * @param type what it holds
 * @param isRequired whether an object cannot be created without it
 * @param choices the only words that it takes; empty for any that fit the type
 */
public record ObjectField(String name, FieldType type, boolean isRequired, List<String> choices) {

  /** Copies the list, so that the value cannot change. */
  public ObjectField {
    choices = List.copyOf(choices);
  }

  static ObjectField required(String name, FieldType type) {
    return new ObjectField(name, type, true, List.of());
  }

  static ObjectField optional(String name, FieldType type) {
    return new ObjectField(name, type, false, List.of());
  }

  static ObjectField choice(String name, Enum<?>... values) {
    List<String> words = Arrays.stream(values).map(ObjectField::word).toList();
    return new ObjectField(name, FieldType.CHOICE, true, words);
  }

  static ObjectField flag(String name) {
    return new ObjectField(name, FieldType.FLAG, false, List.of("true", "false"));
  }

  ObjectField withoutNeed() {
    return new ObjectField(name, type, false, choices);
  }

  /** The field as the JSON form of a configuration names it. */
  public String jsonName() {
    StringBuilder text = new StringBuilder();
    for (String part : name.split("-", -1)) {
      text.append(text.length() == 0 ? part : capitalised(part));
    }
    return text.toString();
  }

  /** What may stand in the field. */
  public String allowed() {
    return choices.isEmpty() ? type.description() : String.join(", ", choices);
  }

  /** Whether the value may stand in the field. */
  public boolean accepts(FieldValue value) {
    if (type == FieldType.LIST) {
      return value.isList();
    }
    boolean isOne = !value.isList() && value.texts().size() == 1;
    return isOne
        && type.accepts(value.texts().get(0))
        && (choices.isEmpty() || choices.contains(value.texts().get(0)));
  }

  private static String word(Enum<?> value) {
    return value.name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  private static String capitalised(String part) {
    return part.substring(0, 1).toUpperCase(Locale.ROOT) + part.substring(1);
  }
}
