package org.marjoramsail.language;

import java.util.Locale;
import java.util.regex.Pattern;

/** How words and quoted texts are written. */
final class Words {

  /** A text that needs no quotes. */
  static final Pattern BARE = Pattern.compile("[\\p{L}\\p{N}_.:/@+*%-]+");

  private Words() {}

  static String quoted(String text) {
    if (BARE.matcher(text).matches()) {
      return text;
    }
    return "\"" + text.replace("\\", "\\\\").replace("\"", "\\\"") + "\"";
  }

  static String unquoted(String quoted) {
    StringBuilder text = new StringBuilder();
    boolean isEscaped = false;
    for (char character : quoted.substring(1, quoted.length() - 1).toCharArray()) {
      if (character == '\\' && !isEscaped) {
        isEscaped = true;
      } else {
        text.append(character);
        isEscaped = false;
      }
    }
    return text.toString();
  }

  static String named(ObjectForm form, String name) {
    return form.code() + " " + quoted(name);
  }

  static String code(Enum<?> value) {
    return value.name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
