package org.marjoramsail.language;

/** What an operator says in one go: a question, an order, or several orders as one. */
public sealed interface Statement permits Question, Order, OrderBlock {

  /** The statement in its one canonical spelling, which parses to an equal statement. */
  String canonical();
}
