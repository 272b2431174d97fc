package org.marjoramsail.daemon.order;

import io.micrometer.core.instrument.MeterRegistry;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import org.marjoramsail.core.configuration.Configuration;
import org.marjoramsail.core.configuration.ServiceDefinition;
import org.marjoramsail.core.configuration.ServiceKind;
import org.marjoramsail.core.membership.MembershipView;
import org.marjoramsail.core.order.LeaseCandidates;
import org.marjoramsail.core.order.LeaseKeeper;
import org.marjoramsail.core.order.OperatorOrder;
import org.marjoramsail.core.time.Clock;
import org.marjoramsail.daemon.configuration.ConfigurationFormat;
import org.marjoramsail.daemon.configuration.ConfigurationFormatException;
import org.marjoramsail.daemon.configuration.Timers;
import org.marjoramsail.daemon.platform.ObjectApi;
import org.marjoramsail.daemon.platform.ObjectList;
import org.marjoramsail.daemon.platform.StoredObject;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Sends orders that bring engines to the state that the configuration and operators require.
 *
 * <p>Services are divided among several leases; this daemon sends orders only for the services
 * whose lease it holds. Thread-safe.
 */
public final class OrderService {

  /** Kind of the objects that hold operators' orders, each an {@link OperatorOrderDocument}. */
  public static final String ORDER_KIND = "orders";

  /** Kind of the objects that hold the order status of a service. */
  public static final String STATUS_KIND = StatusObjects.KIND;

  /** Kind of the objects that hold leases, each a {@code LeaseRecord}. */
  public static final String LEASE_KIND = LeaseObject.KIND;

  private static final Logger LOG = LoggerFactory.getLogger(OrderService.class);
  private static final long TICK_INTERVAL_MILLIS = 1_000;
  private static final long ORDERS_READ_INTERVAL_MILLIS = 20_000;

  private final ObjectApi store;
  private final Supplier<Configuration> configuration;
  private final Supplier<MembershipView> membership;
  private final Clock clock;
  private final Timers timers;
  private final MeterRegistry meters;
  private final List<LeaseShard> shards = new ArrayList<>();
  private final Object ordersLock = new Object();

  private Map<String, StoredObject> storedOrders = Map.of();
  private Map<String, OperatorOrder> operatorOrders = Map.of();
  private long nextOrdersReadMillis;
  private volatile boolean running;

  /**
   * Creates a service that is not started.
   *
   * @param store holds the leases, operators' orders and statuses
   * @param engines client that sends orders to engines
   * @param configuration returns the current configuration
   * @param membership returns the current view of the daemons
   * @param clock source of the current time
   * @param timers schedules the periodic work
   * @param meters records the outcomes of orders
   */
  public OrderService(
      ObjectApi store,
      EngineOrders engines,
      Supplier<Configuration> configuration,
      Supplier<MembershipView> membership,
      Clock clock,
      Timers timers,
      MeterRegistry meters) {
    this.store = store;
    this.configuration = configuration;
    this.membership = membership;
    this.clock = clock;
    this.timers = timers;
    this.meters = meters;
    StatusObjects statuses = new StatusObjects(store, clock);
    for (int number = 0; number < LeaseCandidates.LEASES; number++) {
      LeaseKeeper keeper = new LeaseKeeper(membership.get().self().id(), clock.millis());
      LeaseObject lease = new LeaseObject(leaseName(number), store, clock, keeper);
      shards.add(new LeaseShard(lease, engines, statuses, clock, meters));
    }
  }

  /** Returns the name of the object that holds a lease. */
  public static String leaseName(int number) {
    return "orders-" + number;
  }

  /** Starts to acquire leases and to send orders. */
  public void start() {
    running = true;
    tick();
  }

  /** Stops sending orders and releases the leases, so that other daemons can acquire them. */
  public void stop() {
    running = false;
    shards.forEach(shard -> shard.lease().release());
  }

  /** Returns the numbers of the leases that this daemon holds now. */
  public List<Integer> heldLeases() {
    List<Integer> held = new ArrayList<>();
    for (int number = 0; number < shards.size(); number++) {
      if (shards.get(number).lease().isHeld()) {
        held.add(number);
      }
    }
    return held;
  }

  private void tick() {
    if (!running) {
      return;
    }
    MembershipView view = membership.get();
    for (int number = 0; number < shards.size(); number++) {
      shards.get(number).lease().tick(LeaseCandidates.isCandidate(number, view));
    }
    if (!heldLeases().isEmpty()) {
      readOrdersIfDue();
    }
    for (int number : heldLeases()) {
      shards
          .get(number)
          .runRoundIfDue(configuration.get(), servicesOf(number), orders(), this::deleteFinished);
    }
    timers.schedule(TICK_INTERVAL_MILLIS, this::tick);
  }

  private List<ServiceDefinition> servicesOf(int lease) {
    return configuration.get().services().stream()
        .filter(service -> service.kind() == ServiceKind.MODEL)
        .filter(service -> LeaseCandidates.leaseOf(service.name()) == lease)
        .toList();
  }

  private Map<String, OperatorOrder> orders() {
    synchronized (ordersLock) {
      return operatorOrders;
    }
  }

  private void readOrdersIfDue() {
    synchronized (ordersLock) {
      if (clock.millis() < nextOrdersReadMillis) {
        return;
      }
      nextOrdersReadMillis = clock.millis() + ORDERS_READ_INTERVAL_MILLIS;
    }
    store.list(ORDER_KIND).onSuccess(this::replaceOrders);
  }

  private void replaceOrders(ObjectList list) {
    Map<String, StoredObject> stored = new HashMap<>();
    Map<String, OperatorOrder> parsed = new HashMap<>();
    for (StoredObject object : list.objects()) {
      try {
        parsed.put(
            object.name(),
            ConfigurationFormat.fromTree(object.spec(), OperatorOrderDocument.class).order());
        stored.put(object.name(), object);
      } catch (ConfigurationFormatException malformed) {
        meters.counter("marjoramsail.orders.malformed").increment();
        LOG.atWarn()
            .addKeyValue("order", object.name())
            .addKeyValue("detail", malformed.getMessage())
            .log("an operator's order is malformed");
      }
    }
    synchronized (ordersLock) {
      storedOrders = stored;
      operatorOrders = parsed;
    }
  }

  private void deleteFinished(String order) {
    StoredObject object;
    synchronized (ordersLock) {
      object = storedOrders.get(order);
      Map<String, OperatorOrder> remaining = new HashMap<>(operatorOrders);
      remaining.remove(order);
      operatorOrders = remaining;
    }
    if (object != null) {
      store.delete(object);
    }
  }
}
