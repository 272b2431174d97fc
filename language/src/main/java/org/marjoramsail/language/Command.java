package org.marjoramsail.language;

/**
 * A statement and whether it is only tried.
 *
 * @param isDryRun whether orders are checked and compared, and not carried out
 * @param statement what the operator says
 */
public record Command(boolean isDryRun, Statement statement) {

  /** The command in its one canonical spelling, which parses to an equal command. */
  public String canonical() {
    return (isDryRun ? "dry run " : "") + statement.canonical();
  }
}
