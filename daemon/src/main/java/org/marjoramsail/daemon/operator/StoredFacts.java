package org.marjoramsail.daemon.operator;

import io.vertx.core.Future;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import org.marjoramsail.core.configuration.ConfigurationRoot;
import org.marjoramsail.core.configuration.OrderRecord;
import org.marjoramsail.core.model.UpstreamName;
import org.marjoramsail.core.order.LeaseCandidates;
import org.marjoramsail.core.order.LeaseRecord;
import org.marjoramsail.core.order.OperatorOrder;
import org.marjoramsail.core.order.OrderStatus;
import org.marjoramsail.daemon.configuration.ConfigurationChanges;
import org.marjoramsail.daemon.configuration.ConfigurationFormat;
import org.marjoramsail.daemon.configuration.ConfigurationFormatException;
import org.marjoramsail.daemon.order.OperatorOrderDocument;
import org.marjoramsail.daemon.order.OrderService;
import org.marjoramsail.daemon.platform.ObjectApi;
import org.marjoramsail.daemon.platform.ObjectList;
import org.marjoramsail.daemon.platform.StoredObject;
import org.marjoramsail.language.ResultTable;
import org.marjoramsail.language.Subject;

/**
 * What only the store knows: accepted changes and orders to engines. It is read when an operator
 * asks; in an outage the answer is what was read last, and names the store as silent.
 *
 * <p>Safe on any thread.
 */
public final class StoredFacts {

  /** How answers name the store among the silent hosts. */
  static final String STORE = "object-api";

  private final ConfigurationChanges changes;
  private final ObjectApi store;
  private volatile List<OrderRecord> history = List.of();
  private volatile List<EngineOrderView> engineOrders = List.of();

  /** Creates an instance with where accepted changes and all other objects are read. */
  public StoredFacts(ConfigurationChanges changes, ObjectApi store) {
    this.changes = changes;
    this.store = store;
  }

  /** The accepted changes as they were read last, oldest first. */
  public List<OrderRecord> history() {
    return history;
  }

  /** The orders to engines as they were read last. */
  public List<EngineOrderView> engineOrders() {
    return engineOrders;
  }

  /** Reads before each question what its answer needs. */
  public FleetQueries before(FleetQueries queries) {
    return question ->
        refresh(question.subject())
            .map(true)
            .otherwise(false)
            .compose(isRead -> queries.ask(question).map(table -> isRead ? table : silent(table)));
  }

  private Future<Void> refresh(Subject subject) {
    return switch (subject) {
      case HISTORY -> changes.newest().onSuccess(this::takeHistory).mapEmpty();
      case ORDERS -> readOrders().onSuccess(read -> engineOrders = read).mapEmpty();
      default -> Future.succeededFuture();
    };
  }

  private void takeHistory(ConfigurationRoot root) {
    history = root.recentOrders();
  }

  private static ResultTable silent(ResultTable table) {
    List<String> silentHosts = new ArrayList<>(table.silentHosts());
    silentHosts.add(STORE);
    return new ResultTable(table.columns(), table.rows(), silentHosts, table.isTruncated());
  }

  private Future<List<EngineOrderView>> readOrders() {
    Future<ObjectList> orders = store.list(OrderService.ORDER_KIND);
    Future<ObjectList> statuses = store.list(OrderService.STATUS_KIND);
    Future<ObjectList> leases = store.list(OrderService.LEASE_KIND);
    return Future.all(orders, statuses, leases)
        .map(
            all -> {
              Map<String, Long> tokens = tokens(leases.result());
              List<EngineOrderView> views = new ArrayList<>();
              views.addAll(
                  parsed(
                      orders.result(),
                      OperatorOrderDocument.class,
                      (name, document) -> List.of(ordered(name, document, tokens))));
              views.addAll(
                  parsed(
                      statuses.result(),
                      OrderStatus.class,
                      (name, status) -> rolledOut(status, tokens)));
              return views;
            });
  }

  private static Map<String, Long> tokens(ObjectList leases) {
    Map<String, Long> tokens = new HashMap<>();
    parsed(
        leases,
        LeaseRecord.class,
        (name, lease) -> {
          tokens.put(name, lease.token());
          return List.of();
        });
    return tokens;
  }

  private static long tokenOf(String service, Map<String, Long> tokens) {
    return tokens.getOrDefault(OrderService.leaseName(LeaseCandidates.leaseOf(service)), 0L);
  }

  private static EngineOrderView ordered(
      String name, OperatorOrderDocument document, Map<String, Long> tokens) {
    OperatorOrder order = document.order();
    Optional<UpstreamName> upstream = Optional.empty();
    String kind = "resume";
    String orderedBy = document.orderedBy().orElse("");
    if (order instanceof OperatorOrder.Direct direct) {
      upstream = Optional.of(direct.order().upstream());
      kind = direct.order().kind().code();
    } else if (order instanceof OperatorOrder.Resume resume) {
      orderedBy = resume.author();
    }
    String service = "service " + order.service();
    return new EngineOrderView(
        name, kind, upstream, "waiting", service, orderedBy, tokenOf(order.service(), tokens));
  }

  private static List<EngineOrderView> rolledOut(OrderStatus status, Map<String, Long> tokens) {
    return status.upstreams().stream()
        .map(
            each ->
                new EngineOrderView(
                    "rollout-" + status.service(),
                    code(status.phase()),
                    Optional.of(new UpstreamName(each.upstream())),
                    code(each.step()),
                    each.reason(),
                    "configuration",
                    tokenOf(status.service(), tokens)))
        .toList();
  }

  private static String code(Enum<?> value) {
    return value.name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  /** Turns what is stored into rows. */
  @FunctionalInterface
  private interface Rows<T> {
    List<EngineOrderView> of(String name, T content);
  }

  private static <T extends Record> List<EngineOrderView> parsed(
      ObjectList list, Class<T> type, Rows<T> rows) {
    List<EngineOrderView> views = new ArrayList<>();
    for (StoredObject object : list.objects()) {
      views.addAll(read(object, type, content -> rows.of(object.name(), content)));
    }
    return views;
  }

  /** A malformed object is another program's fault and counted where it is carried out. */
  private static <T extends Record> List<EngineOrderView> read(
      StoredObject object, Class<T> type, Function<T, List<EngineOrderView>> rows) {
    try {
      return rows.apply(ConfigurationFormat.fromTree(object.spec(), type));
    } catch (ConfigurationFormatException malformed) {
      return List.of();
    }
  }
}
