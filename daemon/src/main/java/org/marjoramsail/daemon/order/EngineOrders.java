package org.marjoramsail.daemon.order;

import io.vertx.core.Future;
import java.util.function.BooleanSupplier;
import org.marjoramsail.core.configuration.UpstreamDefinition;
import org.marjoramsail.core.order.EngineOrder;
import org.marjoramsail.core.order.EngineState;

/** Client that sends orders to engines and reads their states. */
public interface EngineOrders {

  /**
   * Sends an order to an engine.
   *
   * @param upstream the engine
   * @param order the order
   * @param token fencing token of the lease under which the order is sent
   * @param allowed checked immediately before the order is sent; if it returns false, nothing is
   *     sent
   */
  Future<Outcome> send(
      UpstreamDefinition upstream, EngineOrder order, long token, BooleanSupplier allowed);

  /** Reads the loaded model, the number of requests and the latest orders of an engine. */
  Future<Reading> read(UpstreamDefinition upstream);

  /** Outcome of sending an order. */
  enum Outcome {
    /** The engine accepted the order. */
    TAKEN,
    /** The engine rejected the order because it has received a newer token. */
    STALE_TOKEN,
    /** The engine rejected the order for another reason. */
    REFUSED,
    /** The order was not sent because the lease had expired. */
    NOT_SENT
  }

  /**
   * State of an engine, as it reported it.
   *
   * @param state the reported state
   * @param ageMillis age of the state when the engine sent it, in milliseconds
   */
  record Reading(EngineState state, long ageMillis) {}
}
