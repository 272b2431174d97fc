package org.marjoramsail.daemon.settings;

import java.util.List;
import java.util.stream.Collectors;
import org.marjoramsail.core.failure.MarjoramsailException;

/** Settings that cannot be used, with everything that is wrong with them. */
public final class SettingsException extends MarjoramsailException {

  private static final long serialVersionUID = 1L;

  private final String source;
  private final transient List<SettingsProblem> problems;

  /**
   * Creates an instance with what is wrong.
   *
   * @param source the file or other origin of the settings
   * @param problems at least one
   */
  public SettingsException(String source, List<SettingsProblem> problems) {
    super(
        source
            + problems.stream()
                .map(SettingsProblem::message)
                .collect(Collectors.joining("\n  ", ":\n  ", "")));
    this.source = source;
    this.problems = List.copyOf(problems);
  }

  /** The file or other origin of the settings. */
  public String source() {
    return source;
  }

  /** Everything that is wrong, in the order of the document's schema. */
  public List<SettingsProblem> problems() {
    return problems;
  }
}
