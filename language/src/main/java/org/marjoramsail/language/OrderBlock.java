package org.marjoramsail.language;

import java.util.List;
import java.util.stream.Collectors;

/**
 * Several orders to the configuration that come into force together or not at all.
 *
 * @param orders the orders, in the order in which they apply; at least one
 */
public record OrderBlock(List<Order> orders) implements Statement {

  /** Copies the list, so that the value cannot change. */
  public OrderBlock {
    orders = List.copyOf(orders);
  }

  @Override
  public String canonical() {
    return orders.stream()
        .map(Order::canonical)
        .collect(Collectors.joining("; ", "begin; ", "; commit"));
  }
}
