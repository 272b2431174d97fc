package org.marjoramsail.core.configuration;

import java.util.List;

/** Result of applying a change to a configuration. */
public sealed interface EditResult {

  /**
   * The change is valid.
   *
   * @param configuration the changed configuration, with the next revision
   */
  record Edited(Configuration configuration) implements EditResult {}

  /**
   * The change is invalid and none of its operations was applied.
   *
   * @param problems all problems, at least one
   */
  record Invalid(List<ConfigurationProblem> problems) implements EditResult {

    /** Copies the list to make the record immutable. */
    public Invalid {
      problems = List.copyOf(problems);
    }
  }
}
