package org.marjoramsail.daemon.connection;

import org.marjoramsail.core.failure.MarjoramsailException;

/** Head of a response that breaks a rule of the grammar. */
public final class MalformedHeadException extends MarjoramsailException {

  private static final long serialVersionUID = 1L;

  private final HeadRule rule;
  private final String line;

  /**
   * Creates an instance.
   *
   * @param line the line up to where it breaks the rule, in printable characters
   */
  MalformedHeadException(HeadRule rule, String line) {
    super("Response breaks the rule " + rule.code() + " with '" + line + "'.");
    this.rule = rule;
    this.line = line;
  }

  /** Returns the rule that is broken. */
  public HeadRule rule() {
    return rule;
  }

  /**
   * Returns the line up to where it breaks the rule; of a long line the first bytes only. Bytes
   * that cannot be printed are escaped.
   */
  public String line() {
    return line;
  }
}
