package org.marjoramsail.core.configuration;

import java.util.Optional;

/**
 * One reason why a change is refused.
 *
 * @param kind what is wrong
 * @param object the object whose field is wrong
 * @param field the component of the object; empty for the object itself
 * @param value what it says
 * @param allowed what it may say
 * @param nearest the allowed value that is nearest to it
 */
public record ConfigurationProblem(
    Kind kind,
    ObjectKey object,
    String field,
    String value,
    String allowed,
    Optional<String> nearest) {

  /** What can be wrong with a change. */
  public enum Kind {
    /** It names an object that does not exist. */
    UNKNOWN_REFERENCE,
    /** It takes away an object that others name. */
    STILL_REFERENCED,
    /** Two objects, or two steps of one change, claim the same name or address. */
    DUPLICATE,
    /** A field has a value that is not allowed. */
    BAD_VALUE,
    /** The change has no steps, or steps that exclude each other. */
    BAD_CHANGE
  }

  /** A sentence for operators that quotes the value and says what is allowed. */
  public String message() {
    String place = field.isEmpty() ? object.toString() : object + ", " + field;
    String suggestion = nearest.map(name -> " Did you mean \"" + name + "\"?").orElse("");
    return place + ": \"" + value + "\" is not allowed; allowed: " + allowed + "." + suggestion;
  }
}
