package org.marjoramsail.command.operator;

/**
 * What a daemon answered to a statement.
 *
 * @param status the HTTP status
 * @param body a table as text, or JSON
 * @param isText whether it is a table as text
 */
public record OperatorReply(int status, String body, boolean isText) {

  private static final int OK = 200;

  /** Whether the daemon refused the statement; the body is then a problem in JSON. */
  public boolean isRefusal() {
    return status != OK;
  }
}
