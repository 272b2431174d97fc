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

/** The services under one lease: asks their engines, plans, and sends, in rounds. */
final class LeaseShard {

  /** How many loads from the weight store may run at once under one lease. */
  private static final int WEIGHT_LOADS = 1;

  private static final long BUSY_ROUND_MILLIS = 5_000;
  private static final long QUIET_ROUND_MILLIS = 60_000;

  private final LeaseObject lease;
  private final EngineOrders engines;
  private final StatusObjects statuses;
  private final Clock clock;
  private final MeterRegistry meters;
  private final Map<UpstreamName, Sent> underWay = new HashMap<>();

  private boolean inRound;
  private long nextRoundMillis;
  private long roundToken;
  private long roundRevision;

  private record Sent(EngineOrder order, long sentMillis) {}

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

  /** Begins a round if one is due; at once after a change of holder or of configuration. */
  void round(
      Configuration configuration,
      List<ServiceDefinition> services,
      Map<String, OperatorOrder> orders,
      Consumer<String> finished) {
    synchronized (this) {
      boolean fresh =
          roundToken != lease.token()
              || roundRevision != configuration.revision()
              || (!orders.isEmpty() && clock.millis() >= nextRoundMillis - QUIET_ROUND_MILLIS / 2);
      if (inRound || (!fresh && clock.millis() < nextRoundMillis)) {
        return;
      }
      inRound = true;
      if (roundToken != lease.token()) {
        underWay.clear();
      }
      roundToken = lease.token();
      roundRevision = configuration.revision();
      nextRoundMillis = clock.millis() + QUIET_ROUND_MILLIS;
    }
    // Failure: an engine that ignores tokens is read, a last order of the former holder arrives,
    // and
    // what was read is acted on. Such engines get orders only from rounds that began, and so read
    // them, after that time.
    boolean unfencedToo = lease.mayAct(false);
    List<Future<Void>> rounds = new ArrayList<>();
    for (ServiceDefinition service : services) {
      rounds.add(serviceRound(configuration, service, orders, unfencedToo, finished));
    }
    Future.join(rounds).onComplete(ignored -> endRound(unfencedToo));
  }

  private synchronized void endRound(boolean unfencedToo) {
    inRound = false;
    if (!unfencedToo || !underWay.isEmpty()) {
      hurry();
    }
  }

  private synchronized void hurry() {
    nextRoundMillis = Math.min(nextRoundMillis, clock.millis() + BUSY_ROUND_MILLIS);
  }

  private Future<Void> serviceRound(
      Configuration configuration,
      ServiceDefinition service,
      Map<String, OperatorOrder> orders,
      boolean unfencedToo,
      Consumer<String> finished) {
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
            ignored -> act(service, model.get(), upstreams, states, orders, unfencedToo, finished));
  }

  private Future<Void> read(UpstreamDefinition upstream, Map<UpstreamName, EngineState> states) {
    long askedMillis = clock.millis();
    return engines
        .read(upstream)
        .onSuccess(reading -> take(upstream, reading, askedMillis, states))
        .onFailure(failure -> count("read-failed"))
        .mapEmpty();
  }

  private synchronized void take(
      UpstreamDefinition upstream,
      EngineOrders.Reading reading,
      long askedMillis,
      Map<UpstreamName, EngineState> states) {
    // Failure: engines report late. A report from before an order looks as if the order was never
    // sent, and it would be sent again. The order counts as under way until a report is younger.
    Sent sent = underWay.get(upstream.name());
    if (sent != null && askedMillis - reading.ageMillis() > sent.sentMillis()) {
      underWay.remove(upstream.name());
    }
    states.put(upstream.name(), reading.state());
  }

  private void act(
      ServiceDefinition service,
      ModelDefinition model,
      List<UpstreamDefinition> upstreams,
      Map<UpstreamName, EngineState> states,
      Map<String, OperatorOrder> orders,
      boolean unfencedToo,
      Consumer<String> finished) {
    OrderPlan plan;
    synchronized (this) {
      Map<String, OperatorOrder> own = new HashMap<>(orders);
      own.values().removeIf(order -> !order.service().equals(service.name()));
      plan =
          OrderPlanner.plan(
              new ServiceSnapshot(
                  service.name(),
                  model,
                  upstreams,
                  states,
                  Set.copyOf(underWay.keySet()),
                  own,
                  freeWeightLoads(states)));
    }
    Map<UpstreamName, UpstreamDefinition> byName =
        upstreams.stream().collect(Collectors.toMap(UpstreamDefinition::name, it -> it));
    for (EngineOrder order : plan.orders()) {
      send(byName.get(order.upstream()), order, unfencedToo);
    }
    if (lease.isHeld()) {
      statuses.write(plan.status());
      plan.finished().forEach(finished);
    }
    if (plan.status().phase() != OrderStatus.Phase.DONE) {
      hurry();
    }
  }

  private int freeWeightLoads(Map<UpstreamName, EngineState> states) {
    long loading = states.values().stream().filter(EngineState::isLoadingWeights).count();
    long sent =
        underWay.values().stream().filter(it -> it.order().kind().isLoadingWeights()).count();
    return (int) Math.max(0, WEIGHT_LOADS - loading - sent);
  }

  private void send(UpstreamDefinition upstream, EngineOrder order, boolean unfencedToo) {
    if (!upstream.fenced() && !unfencedToo) {
      count("held-back");
      return;
    }
    synchronized (this) {
      underWay.put(upstream.name(), new Sent(order, clock.millis()));
    }
    engines
        .send(upstream, order, roundToken, () -> lease.mayAct(upstream.fenced()))
        .onComplete(outcome -> sent(upstream, outcome), failure -> count("send-failed"));
  }

  private void sent(UpstreamDefinition upstream, EngineOrders.Outcome outcome) {
    count(outcome.name().toLowerCase(java.util.Locale.ROOT).replace('_', '-'));
    if (outcome != EngineOrders.Outcome.TAKEN) {
      synchronized (this) {
        underWay.remove(upstream.name());
      }
    }
  }

  private void count(String outcome) {
    meters.counter("marjoramsail.orders", "outcome", outcome).increment();
  }
}
