package org.marjoramsail.daemon.operator;

import io.vertx.core.Future;
import java.util.List;
import org.marjoramsail.language.Order;

/** Carries out the orders that act on one target. */
@FunctionalInterface
public interface OrderExecutor {

  /**
   * Carries out orders, all or none.
   *
   * @param orders at least one, all of one target
   * @return fails with an {@link AdministrationException}
   */
  Future<OrderOutcome> carryOut(OrderContext context, List<Order> orders);
}
