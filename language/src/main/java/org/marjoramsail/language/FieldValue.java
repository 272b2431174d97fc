package org.marjoramsail.language;

import java.util.List;
import java.util.stream.Collectors;

/**
 * What an operator sets a field to.
 *
 * @param texts one text, or the texts of a list
 * @param isList whether it was written in brackets
 */
public record FieldValue(List<String> texts, boolean isList) {

  /** Copies the list, so that the value cannot change. */
  public FieldValue {
    texts = List.copyOf(texts);
  }

  /** A single text. */
  public static FieldValue of(String text) {
    return new FieldValue(List.of(text), false);
  }

  /** A list of texts. */
  public static FieldValue list(List<String> texts) {
    return new FieldValue(texts, true);
  }

  String canonical() {
    String joined = texts.stream().map(Words::quoted).collect(Collectors.joining(", "));
    return isList ? "[" + joined + "]" : joined;
  }
}
