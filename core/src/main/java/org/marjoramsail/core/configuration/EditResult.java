package org.marjoramsail.core.configuration;

import java.util.List;

/** What became of a change that was applied to a configuration. */
public sealed interface EditResult {

  /**
   * The change is sound.
   *
   * @param configuration the configuration with it, one revision later
   */
  record Edited(Configuration configuration) implements EditResult {}

  /**
   * The change is refused whole.
   *
   * @param problems every reason, at least one
   */
  record Invalid(List<ConfigurationProblem> problems) implements EditResult {

    /** Copies the list, so that the value cannot change. */
    public Invalid {
      problems = List.copyOf(problems);
    }
  }
}
