package org.marjoramsail.core.order;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.Optional;
import org.marjoramsail.core.configuration.UpstreamDefinition;

/**
 * Derives the names of a rollout's orders from the desired state and the number of the attempt.
 *
 * <p>The names carry the state of the rollout: a failed order of the current desired state and
 * attempt pauses the rollout, and a resume order or another desired state changes the names.
 */
final class OrderNames {

  private static final String PREFIX = "rollout.";
  private static final String NUMBER_MARK = "#";

  private final ServiceSnapshot snapshot;
  private final long attempts;

  OrderNames(ServiceSnapshot snapshot) {
    this.snapshot = snapshot;
    this.attempts =
        snapshot.operatorOrders().values().stream()
            .filter(OperatorOrder.Resume.class::isInstance)
            .count();
  }

  static boolean isOfRollout(String order) {
    return order.startsWith(PREFIX);
  }

  boolean isOfCurrentAttempt(UpstreamDefinition upstream, String order) {
    return order.startsWith(attemptPrefix(upstream));
  }

  /**
   * Returns whether a reported order is the desired order of the current attempt, apart from its
   * number.
   */
  boolean isSameOrder(UpstreamDefinition upstream, EngineOrder desired, String order) {
    String name = desired.order();
    return order.startsWith(attemptPrefix(upstream))
        && order.startsWith(name.substring(0, name.lastIndexOf(NUMBER_MARK) + 1));
  }

  EngineOrder plain(UpstreamDefinition upstream, EngineOrderKind kind) {
    String order = attemptPrefix(upstream) + kind.code() + nextNumber(upstream);
    return EngineOrder.plain(order, upstream.name(), kind);
  }

  /**
   * Returns the number of the next order to an engine: one more than in any order that the engine
   * reports.
   *
   * <p>An order that was lost in transit gets the same number again. The same desired state at a
   * later time gets another number, so that the engine does not handle its order as a duplicate.
   */
  private String nextNumber(UpstreamDefinition upstream) {
    long highest =
        Optional.ofNullable(snapshot.states().get(upstream.name())).stream()
            .flatMap(state -> state.orders().stream())
            .map(OrderProgress::order)
            .filter(OrderNames::isOfRollout)
            .mapToLong(OrderNames::numberOf)
            .max()
            .orElse(0);
    return NUMBER_MARK + (highest + 1);
  }

  private static long numberOf(String order) {
    try {
      return Long.parseLong(order.substring(order.lastIndexOf(NUMBER_MARK) + 1));
    } catch (NumberFormatException otherFormat) {
      return 0;
    }
  }

  EngineOrder loadModel(UpstreamDefinition upstream) {
    EngineOrder plain = plain(upstream, EngineOrderKind.LOAD_MODEL);
    return new EngineOrder(
        plain.order(),
        plain.upstream(),
        plain.kind(),
        Optional.of(snapshot.model().name()),
        Optional.of(snapshot.model().version()),
        Optional.empty(),
        Optional.empty());
  }

  EngineOrder loadAdapter(UpstreamDefinition upstream, String adapter) {
    EngineOrder plain = plain(upstream, EngineOrderKind.LOAD_ADAPTER);
    return new EngineOrder(
        attemptPrefix(upstream) + plain.kind().code() + "." + adapter + nextNumber(upstream),
        plain.upstream(),
        plain.kind(),
        Optional.of(snapshot.model().name()),
        Optional.empty(),
        Optional.of(adapter),
        Optional.empty());
  }

  EngineOrder changeRole(UpstreamDefinition upstream) {
    EngineOrder plain = plain(upstream, EngineOrderKind.CHANGE_ROLE);
    return new EngineOrder(
        plain.order(),
        plain.upstream(),
        plain.kind(),
        Optional.empty(),
        Optional.empty(),
        Optional.empty(),
        Optional.of(upstream.role()));
  }

  private String attemptPrefix(UpstreamDefinition upstream) {
    String desiredState = snapshot.model() + " " + upstream.role();
    long hash = Hashing.xxh3_64().hashCharsToLong(desiredState);
    return PREFIX + Long.toHexString(hash) + "." + attempts + ".";
  }
}
