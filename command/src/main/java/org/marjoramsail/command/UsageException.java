package org.marjoramsail.command;

import java.util.Collection;
import org.marjoramsail.core.failure.MarjoramsailException;
import org.marjoramsail.language.NearestName;

/** An option whose value is not allowed. */
public final class UsageException extends MarjoramsailException {

  private static final long serialVersionUID = 1L;

  private final String option;

  /**
   * Creates an instance with what was typed and what is allowed.
   *
   * @param option the option
   * @param value its value
   * @param allowed a description of the allowed values
   */
  public UsageException(String option, String value, String allowed) {
    super("%s is '%s'; allowed is %s.".formatted(option, value, allowed));
    this.option = option;
  }

  /** An option that takes one of some names. */
  static UsageException notOneOf(String option, String value, Collection<String> names) {
    String nearest = NearestName.of(value, names).map(" Did you mean '%s'?"::formatted).orElse("");
    return new UsageException(option, value, "one of " + String.join(", ", names), nearest);
  }

  private UsageException(String option, String value, String allowed, String suggestion) {
    super("%s is '%s'; allowed is %s.%s".formatted(option, value, allowed, suggestion));
    this.option = option;
  }

  /** The option that failed. */
  public String option() {
    return option;
  }
}
