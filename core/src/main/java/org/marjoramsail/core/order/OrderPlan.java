package org.marjoramsail.core.order;

import java.util.List;

/**
 * What to send next for one service, and where it stands.
 *
 * @param orders the orders, at most one for each engine
 * @param status where the service stands
 * @param finished the names of operators' orders that are done
 */
public record OrderPlan(List<EngineOrder> orders, OrderStatus status, List<String> finished) {

  /** Copies the lists, so that the value cannot change. */
  public OrderPlan {
    orders = List.copyOf(orders);
    finished = List.copyOf(finished);
  }
}
