package org.marjoramsail.daemon.order;

import io.vertx.core.Future;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import org.marjoramsail.core.configuration.UpstreamDefinition;
import org.marjoramsail.core.model.UpstreamName;
import org.marjoramsail.core.order.EngineOrder;
import org.marjoramsail.core.order.EngineOrderKind;
import org.marjoramsail.core.order.EngineState;
import org.marjoramsail.core.order.OrderProgress;

/** Fake engines that execute each order immediately and record it with its token. */
final class FakeEngines implements EngineOrders {

  record AcceptedOrder(UpstreamName upstream, EngineOrderKind kind, long token, long atMillis) {}

  final List<AcceptedOrder> accepted = new ArrayList<>();
  private final Map<UpstreamName, EngineState> states = new HashMap<>();
  private final LongSupplier now;

  FakeEngines(LongSupplier now) {
    this.now = now;
  }

  EngineState state(UpstreamDefinition upstream) {
    return states.computeIfAbsent(
        upstream.name(),
        name ->
            new EngineState(
                name, upstream.role(), "lector-8b", "v0", List.of("clerk"), 0, false, List.of()));
  }

  @Override
  public Future<Outcome> send(
      UpstreamDefinition upstream, EngineOrder order, long token, BooleanSupplier allowed) {
    if (!allowed.getAsBoolean()) {
      return Future.succeededFuture(Outcome.NOT_SENT);
    }
    accepted.add(new AcceptedOrder(upstream.name(), order.kind(), token, now.getAsLong()));
    EngineState old = state(upstream);
    List<OrderProgress> orders = new ArrayList<>(old.orders());
    orders.add(
        new OrderProgress(order.order(), order.kind(), OrderProgress.State.DONE, Optional.empty()));
    boolean leaving =
        order.kind() == EngineOrderKind.LEAVE
            || (old.leaving() && order.kind() != EngineOrderKind.RETURN);
    states.put(
        upstream.name(),
        new EngineState(
            old.upstream(),
            old.role(),
            old.model(),
            order.version().orElse(old.version()),
            old.adapters(),
            0,
            leaving,
            orders));
    return Future.succeededFuture(Outcome.TAKEN);
  }

  @Override
  public Future<Reading> read(UpstreamDefinition upstream) {
    return Future.succeededFuture(new Reading(state(upstream), 0));
  }
}
