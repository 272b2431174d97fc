package org.marjoramsail.standin.engine;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonValue;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import org.marjoramsail.standin.engine.EngineAudit.DoneOrder;
import org.marjoramsail.standin.engine.EngineBodies.OrderBody;

/**
 * The orders that an engine has taken, and the newest fencing token that it has seen.
 *
 * <p>It outlives a crash: a fence that a restart forgets would let a stale order through.
 */
final class OrderBook {

  private static final int KEPT_ORDERS = 1_000;

  /** How far an order is. */
  enum State {
    RUNNING,
    DONE,
    FAILED;

    /** The word in answers. */
    @JsonValue
    String code() {
      return name().toLowerCase(Locale.ROOT);
    }
  }

  /** One order as it is listed. */
  @JsonInclude(JsonInclude.Include.NON_ABSENT)
  record Entry(String order, long token, String kind, State state, Optional<String> reason) {}

  private final OrderTokenPolicy policy;
  private final AuditBook audit;
  private final Map<String, Entry> entries =
      new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Entry> eldest) {
          return size() > KEPT_ORDERS;
        }
      };
  private final Map<String, Boolean> stale = new LinkedHashMap<>();
  private long newestToken;

  OrderBook(OrderTokenPolicy policy, AuditBook audit) {
    this.policy = policy;
    this.audit = audit;
  }

  /** The entry of an order that was taken before; a repeat does nothing more. */
  Optional<Entry> find(String order) {
    return Optional.ofNullable(entries.get(order));
  }

  /** Whether the token of an order is too old for this engine. */
  boolean refuses(OrderBody order) {
    return policy.refuses(order.token(), newestToken);
  }

  /** Notes an order as running. */
  Entry begin(OrderBody order) {
    stale.put(order.order(), order.token() < newestToken);
    newestToken = Math.max(newestToken, order.token());
    Entry entry =
        new Entry(order.order(), order.token(), order.kind(), State.RUNNING, Optional.empty());
    entries.put(order.order(), entry);
    return entry;
  }

  /** Notes that an order was carried out. */
  void done(OrderBody order) {
    entries.put(
        order.order(),
        new Entry(order.order(), order.token(), order.kind(), State.DONE, Optional.empty()));
    boolean wasStale = Boolean.TRUE.equals(stale.remove(order.order()));
    audit.orderDone(new DoneOrder(order.order(), order.token(), order.kind(), wasStale));
  }

  /** Notes that an order was given up. */
  void failed(OrderBody order, OrderFailure reason) {
    stale.remove(order.order());
    entries.put(
        order.order(),
        new Entry(
            order.order(), order.token(), order.kind(), State.FAILED, Optional.of(reason.code())));
  }

  /** Gives up all running orders, as a crash does. */
  void crashed() {
    for (Entry entry : List.copyOf(entries.values())) {
      if (entry.state() == State.RUNNING) {
        entries.put(
            entry.order(),
            new Entry(
                entry.order(),
                entry.token(),
                entry.kind(),
                State.FAILED,
                Optional.of(OrderFailure.CRASHED.code())));
      }
    }
    stale.clear();
  }

  List<Entry> entries() {
    return List.copyOf(entries.values());
  }

  long newestToken() {
    return newestToken;
  }
}
