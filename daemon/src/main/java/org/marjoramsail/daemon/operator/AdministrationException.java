package org.marjoramsail.daemon.operator;

import java.util.List;
import java.util.Optional;
import org.marjoramsail.core.failure.MarjoramsailException;

/** An operator's request that was refused. */
public final class AdministrationException extends MarjoramsailException {

  private static final long serialVersionUID = 1L;

  /**
   * One thing that is wrong with a request.
   *
   * @param field where
   * @param value what stands there
   * @param allowed what may stand there
   * @param nearest the valid value that was most likely meant
   */
  public record Problem(String field, String value, String allowed, Optional<String> nearest) {}

  private final AdministrationFailure failure;
  private final transient List<Problem> problems;

  /** Creates an instance with a sentence that says what is wrong. */
  public AdministrationException(AdministrationFailure failure, String detail) {
    this(failure, detail, List.of());
  }

  /**
   * Creates an instance with what is wrong.
   *
   * @param detail a sentence
   * @param problems each field that is wrong
   */
  public AdministrationException(
      AdministrationFailure failure, String detail, List<Problem> problems) {
    super(detail);
    this.failure = failure;
    this.problems = List.copyOf(problems);
  }

  /** Why the request was refused. */
  public AdministrationFailure failure() {
    return failure;
  }

  /** Each field that is wrong. */
  public List<Problem> problems() {
    return problems;
  }
}
