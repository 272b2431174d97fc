package org.marjoramsail.core.order;

import java.util.List;

/**
 * The next orders of one service, and its status.
 *
 * @param orders the orders to send, at most one for each engine
 * @param status the status of the service
 * @param finished the names of operators' orders that are done
 */
public record OrderPlan(List<EngineOrder> orders, OrderStatus status, List<String> finished) {

  /** Copies the lists, so that the record is immutable. */
  public OrderPlan {
    orders = List.copyOf(orders);
    finished = List.copyOf(finished);
  }
}
