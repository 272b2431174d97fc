package org.marjoramsail.daemon.order;

import io.micrometer.core.instrument.MeterRegistry;
import io.vertx.core.Future;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.marjoramsail.core.configuration.Configuration;
import org.marjoramsail.core.configuration.ModelDefinition;
import org.marjoramsail.core.configuration.ServiceDefinition;
import org.marjoramsail.core.configuration.UpstreamDefinition;
import org.marjoramsail.core.model.UpstreamName;
import org.marjoramsail.core.order.EngineOrder;
import org.marjoramsail.core.order.EngineState;
import org.marjoramsail.core.order.OperatorOrder;
import org.marjoramsail.core.order.OrderPlan;
import org.marjoramsail.core.order.OrderPlanner;
import org.marjoramsail.core.order.OrderStatus;
import org.marjoramsail.core.order.ServiceSnapshot;
import org.marjoramsail.core.time.Clock;

/**
 * Runs the orders of the services under one lease, in rounds.
 *
 * <p>A round reads the states of the services' engines, plans the next orders and sends them.
 */
final class LeaseShard {

  /** Maximum number of concurrent loads from the weight store under one lease. */
  private static final int MAXIMUM_WEIGHT_LOADS = 1;

  private static final long BUSY_INTERVAL_MILLIS = 5_000;
  private static final long IDLE_INTERVAL_MILLIS = 60_000;

  private final LeaseObject lease;
  private final EngineOrders engines;
  private final StatusObjects statuses;
  private final Clock clock;
  private final MeterRegistry meters;
  private final Map<UpstreamName, SentOrder> inFlight = new HashMap<>();

  private boolean roundInProgress;
  private long nextRoundMillis;
  private long roundToken;
  private long roundRevision;

  private record SentOrder(EngineOrder order, long sentMillis) {}

  LeaseShard(
      LeaseObject lease,
      EngineOrders engines,
      StatusObjects statuses,
      Clock clock,
      MeterRegistry meters) {
    this.lease = lease;
    this.engines = engines;
    this.statuses = statuses;
    this.clock = clock;
    this.meters = meters;
  }

  LeaseObject lease() {
    return lease;
  }

  /**
   * Starts a round if one is due. A new holder or a new configuration starts one immediately;
   * operators' orders start one up to half the idle interval early.
   *
   * @param onFinished called with the name of each operator's order that is finished
   */
  void runRoundIfDue(
      Configuration configuration,
      List<ServiceDefinition> services,
      Map<String, OperatorOrder> orders,
      Consumer<String> onFinished) {
    synchronized (this) {
      boolean isImmediate =
          roundToken != lease.token()
              || roundRevision != configuration.revision()
              || (!orders.isEmpty()
                  && clock.millis() >= nextRoundMillis - IDLE_INTERVAL_MILLIS / 2);
      if (roundInProgress || (!isImmediate && clock.millis() < nextRoundMillis)) {
        return;
      }
      roundInProgress = true;
      if (roundToken != lease.token()) {
        inFlight.clear();
      }
      roundToken = lease.token();
      roundRevision = configuration.revision();
      nextRoundMillis = clock.millis() + IDLE_INTERVAL_MILLIS;
    }
    // Guards against acting on an outdated state: an engine that ignores tokens may execute a last
    // order of the former holder after its state was read. Such engines receive orders only from
    // rounds that started, and thus read their states, after that order must have arrived.
    boolean unfencedAllowed = lease.mayAct(false);
    List<Future<Void>> rounds = new ArrayList<>();
    for (ServiceDefinition service : services) {
      rounds.add(runServiceRound(configuration, service, orders, unfencedAllowed, onFinished));
    }
    Future.join(rounds).onComplete(ignored -> endRound(unfencedAllowed));
  }

  private synchronized void endRound(boolean unfencedAllowed) {
    roundInProgress = false;
    if (!unfencedAllowed || !inFlight.isEmpty()) {
      scheduleBusyRound();
    }
  }

  private synchronized void scheduleBusyRound() {
    nextRoundMillis = Math.min(nextRoundMillis, clock.millis() + BUSY_INTERVAL_MILLIS);
  }

  private Future<Void> runServiceRound(
      Configuration configuration,
      ServiceDefinition service,
      Map<String, OperatorOrder> orders,
      boolean unfencedAllowed,
      Consumer<String> onFinished) {
    Optional<ModelDefinition> model =
        configuration.models().stream()
            .filter(candidate -> service.model().filter(candidate.name()::equals).isPresent())
            .findFirst();
    if (model.isEmpty()) {
      return Future.succeededFuture();
    }
    List<UpstreamDefinition> upstreams = configuration.upstreamsOf(service.name());
    Map<UpstreamName, EngineState> states = new HashMap<>();
    List<Future<Void>> readings = new ArrayList<>();
    for (UpstreamDefinition upstream : upstreams) {
      readings.add(read(upstream, states));
    }
    return Future.join(readings)
        .<Void>mapEmpty()
        .otherwiseEmpty()
        .onSuccess(
            ignored ->
                planAndSend(
                    service, model.get(), upstreams, states, orders, unfencedAllowed, onFinished));
  }

  private Future<Void> read(UpstreamDefinition upstream, Map<UpstreamName, EngineState> states) {
    long requestMillis = clock.millis();
    return engines
        .read(upstream)
        .onSuccess(reading -> recordReading(upstream, reading, requestMillis, states))
        .onFailure(failure -> count("read-failed"))
        .mapEmpty();
  }

  private synchronized void recordReading(
      UpstreamDefinition upstream,
      EngineOrders.Reading reading,
      long requestMillis,
      Map<UpstreamName, EngineState> states) {
    // Guards against sending an order twice: a state from before an order does not reflect it. The
    // order is in flight until a newer state arrives.
    SentOrder sent = inFlight.get(upstream.name());
    if (sent != null && requestMillis - reading.ageMillis() > sent.sentMillis()) {
      inFlight.remove(upstream.name());
    }
    states.put(upstream.name(), reading.state());
  }

  private void planAndSend(
      ServiceDefinition service,
      ModelDefinition model,
      List<UpstreamDefinition> upstreams,
      Map<UpstreamName, EngineState> states,
      Map<String, OperatorOrder> orders,
      boolean unfencedAllowed,
      Consumer<String> onFinished) {
    OrderPlan plan;
    synchronized (this) {
      Map<String, OperatorOrder> serviceOrders = new HashMap<>(orders);
      serviceOrders.values().removeIf(order -> !order.service().equals(service.name()));
      plan =
          OrderPlanner.plan(
              new ServiceSnapshot(
                  service.name(),
                  model,
                  upstreams,
                  states,
                  Set.copyOf(inFlight.keySet()),
                  serviceOrders,
                  freeWeightLoads(states)));
    }
    Map<UpstreamName, UpstreamDefinition> byName =
        upstreams.stream()
            .collect(Collectors.toMap(UpstreamDefinition::name, upstream -> upstream));
    for (EngineOrder order : plan.orders()) {
      send(byName.get(order.upstream()), order, unfencedAllowed);
    }
    if (lease.isHeld()) {
      statuses.write(plan.status());
      plan.finished().forEach(onFinished);
    }
    if (plan.status().phase() != OrderStatus.Phase.DONE) {
      scheduleBusyRound();
    }
  }

  private int freeWeightLoads(Map<UpstreamName, EngineState> states) {
    long loading = states.values().stream().filter(EngineState::isLoadingWeights).count();
    long sent =
        inFlight.values().stream().filter(entry -> entry.order().kind().isLoadingWeights()).count();
    return (int) Math.max(0, MAXIMUM_WEIGHT_LOADS - loading - sent);
  }

  private void send(UpstreamDefinition upstream, EngineOrder order, boolean unfencedAllowed) {
    if (!upstream.fenced() && !unfencedAllowed) {
      count("held-back");
      return;
    }
    synchronized (this) {
      inFlight.put(upstream.name(), new SentOrder(order, clock.millis()));
    }
    engines
        .send(upstream, order, roundToken, () -> lease.mayAct(upstream.fenced()))
        .onComplete(outcome -> recordOutcome(upstream, outcome), failure -> count("send-failed"));
  }

  private void recordOutcome(UpstreamDefinition upstream, EngineOrders.Outcome outcome) {
    count(outcome.name().toLowerCase(java.util.Locale.ROOT).replace('_', '-'));
    if (outcome != EngineOrders.Outcome.TAKEN) {
      synchronized (this) {
        inFlight.remove(upstream.name());
      }
    }
  }

  private void count(String outcome) {
    meters.counter("marjoramsail.orders", "outcome", outcome).increment();
  }
}
