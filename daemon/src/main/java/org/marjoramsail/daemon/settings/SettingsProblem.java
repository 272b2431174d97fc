package org.marjoramsail.daemon.settings;

import java.util.Optional;

/**
 * One thing that is wrong with the settings.
 *
 * @param kind what sort of fault it is
 * @param path where, as a JSON pointer; empty for the whole document
 * @param value what stands there, as JSON
 * @param allowed what may stand there
 * @param nearest the valid name that was most likely meant
 */
public record SettingsProblem(
    Kind kind, String path, String value, String allowed, Optional<String> nearest) {

  /** What sort of fault it is. */
  public enum Kind {
    /** The file cannot be read. */
    UNREADABLE("cannot be read"),
    /** The text is not JSON. */
    MALFORMED("is not JSON"),
    /** No such field. */
    UNKNOWN_FIELD("is not a field"),
    /** A field that has no default is not there. */
    MISSING_FIELD("is missing"),
    /** A value of another type or outside what the field takes. */
    NOT_ALLOWED("is not allowed"),
    /** Two entries that must differ do not. */
    DUPLICATE("stands twice");

    private final String phrase;

    Kind(String phrase) {
      this.phrase = phrase;
    }
  }

  /** One line that quotes the value and says what is allowed. */
  public String message() {
    String shown = kind == Kind.MISSING_FIELD ? "" : " " + value;
    String hint = nearest.map(name -> "; did you mean " + name + "?").orElse("");
    return (path.isEmpty() ? "/" : path)
        + ":"
        + shown
        + " "
        + kind.phrase
        + "; allowed: "
        + allowed
        + hint;
  }
}
