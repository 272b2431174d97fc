package org.marjoramsail.core.configuration;

import java.util.Optional;

/**
 * Reason why a change is invalid.
 *
 * @param kind the kind of problem
 * @param object the object with the problem
 * @param field the field of the object; empty if the problem concerns the object as a whole
 * @param value the invalid value
 * @param allowed description of the allowed values
 * @param nearest the allowed name that is most similar to the value, if any
 */
public record ConfigurationProblem(
    Kind kind,
    ObjectKey object,
    String field,
    String value,
    String allowed,
    Optional<String> nearest) {

  /** Kinds of problems. */
  public enum Kind {
    /** The change refers to an object that does not exist. */
    UNKNOWN_REFERENCE,
    /** The change deletes an object that other objects refer to. */
    STILL_REFERENCED,
    /** Two objects, or two operations of one change, have the same name or address. */
    DUPLICATE,
    /** A field has an invalid value. */
    BAD_VALUE,
    /** The change has no operations, or a combination of operations that is not allowed. */
    BAD_CHANGE
  }

  /** Returns a message for operators with the invalid value and the allowed values. */
  public String message() {
    String place = field.isEmpty() ? object.toString() : object + ", " + field;
    String suggestion = nearest.map(name -> " Did you mean \"" + name + "\"?").orElse("");
    return place + ": \"" + value + "\" is not allowed; allowed: " + allowed + "." + suggestion;
  }
}
