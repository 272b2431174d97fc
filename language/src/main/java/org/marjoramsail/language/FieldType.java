package org.marjoramsail.language;

import java.util.function.Predicate;
import java.util.regex.Pattern;

/** What a field of an object holds. */
public enum FieldType {
  /** One word or quoted text. */
  TEXT("a word or a quoted text", text -> !text.isEmpty()),
  /** A whole number. */
  INTEGER("a whole number from 0", FieldType::isInteger),
  /** A number with or without a fraction. */
  NUMBER("a number from 0, such as 2 or 0.5", FieldType::isNumber),
  /** Yes or no. */
  FLAG("true or false", text -> text.equals("true") || text.equals("false")),
  /** Any number of texts in brackets. */
  LIST("a list such as [a, b]", text -> !text.isEmpty()),
  /** One of a few words. */
  CHOICE("one of a few words", text -> true);

  private static final Pattern INTEGER_DIGITS = Pattern.compile("\\d{1,18}");
  private static final Pattern NUMBER_DIGITS = Pattern.compile("\\d{1,15}(\\.\\d{1,9})?");

  private final String description;

  // Method references without state; the checker cannot see that they are immutable.
  @SuppressWarnings("ImmutableEnumChecker")
  private final Predicate<String> check;

  FieldType(String description, Predicate<String> check) {
    this.description = description;
    this.check = check;
  }

  /** What may stand in such a field. */
  public String description() {
    return description;
  }

  /** Whether one text may stand in such a field. */
  public boolean accepts(String text) {
    return check.test(text);
  }

  private static boolean isInteger(String text) {
    return INTEGER_DIGITS.matcher(text).matches();
  }

  private static boolean isNumber(String text) {
    return NUMBER_DIGITS.matcher(text).matches();
  }
}
