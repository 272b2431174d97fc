package org.marjoramsail.daemon.order;

import io.vertx.core.Future;
import java.util.function.BooleanSupplier;
import org.marjoramsail.core.configuration.UpstreamDefinition;
import org.marjoramsail.core.order.EngineOrder;
import org.marjoramsail.core.order.EngineState;

/** Sends orders to engines and asks how they are; failed futures carry the cause. */
public interface EngineOrders {

  /**
   * Sends an order.
   *
   * @param upstream the engine
   * @param order what to do
   * @param token the fencing token of the lease
   * @param allowed asked at the last moment before the bytes go out; nothing is sent when it says
   *     no
   */
  Future<Outcome> send(
      UpstreamDefinition upstream, EngineOrder order, long token, BooleanSupplier allowed);

  /** Asks an engine what it has loaded, what it runs, and which orders it remembers. */
  Future<Reading> read(UpstreamDefinition upstream);

  /** What became of an order that was to be sent. */
  enum Outcome {
    /** The engine took it. */
    TAKEN,
    /** The engine has seen a newer token; it did nothing. */
    STALE_TOKEN,
    /** The engine refused it for another reason. */
    REFUSED,
    /** It was not sent, since the lease had run out. */
    NOT_SENT
  }

  /**
   * What an engine said.
   *
   * @param state its state
   * @param ageMillis how old that was when it said it
   */
  record Reading(EngineState state, long ageMillis) {}
}
