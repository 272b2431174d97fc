package org.marjoramsail.daemon.operator;

import org.marjoramsail.core.configuration.OrderId;
import org.marjoramsail.language.ResultTable;

/** What an operator gets for a statement. */
public sealed interface StatementResponse {

  /**
   * The answer to a question.
   *
   * @param table its rows
   */
  record Table(ResultTable table) implements StatementResponse {}

  /**
   * What became of an order.
   *
   * @param order names it; the same again has no further effect
   * @param outcome how far it is
   */
  record Ordered(OrderId order, OrderOutcome outcome) implements StatementResponse {}
}
