package org.marjoramsail.command;

import java.util.Arrays;
import java.util.List;
import java.util.function.Function;

/** Reads options that take one of a few names. */
final class Choice {

  private Choice() {}

  /**
   * The value whose name was typed.
   *
   * @param option the option, for the fault
   * @param typed what was typed
   * @param values the allowed values
   * @param name gives the name of a value
   */
  static <T> T of(String option, String typed, T[] values, Function<T, String> name)
      throws UsageException {
    for (T value : values) {
      if (name.apply(value).equals(typed)) {
        return value;
      }
    }
    List<String> names = Arrays.stream(values).map(name).toList();
    throw UsageException.notOneOf(option, typed, names);
  }
}
