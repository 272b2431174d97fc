package org.marjoramsail.core.order;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.marjoramsail.core.configuration.UpstreamDefinition;
import org.marjoramsail.core.model.UpstreamName;
import org.marjoramsail.core.model.UpstreamRole;
import org.marjoramsail.core.order.OrderProgress.State;
import org.marjoramsail.core.order.OrderStatus.Phase;
import org.marjoramsail.core.order.OrderStatus.Step;
import org.marjoramsail.core.order.OrderStatus.UpstreamStatus;

/**
 * Plans the next orders of one service from the reported states of its engines.
 *
 * <p>The planner is stateless, so a new holder of the lease continues where the former one stopped:
 * the names of the reported orders show which engines the rollout has drained and which orders have
 * failed.
 */
public final class OrderPlanner {

  private static final int DRAINED_POOL_DIVISOR = 4;

  private final ServiceSnapshot snapshot;
  private final OrderNames names;
  private final List<EngineOrder> orders = new ArrayList<>();
  private final List<UpstreamStatus> statuses = new ArrayList<>();
  private final List<String> finished = new ArrayList<>();
  private int freeWeightLoads;

  private OrderPlanner(ServiceSnapshot snapshot) {
    this.snapshot = snapshot;
    this.names = new OrderNames(snapshot);
    this.freeWeightLoads = snapshot.freeWeightLoads();
  }

  /** Plans the next orders. */
  public static OrderPlan plan(ServiceSnapshot snapshot) {
    return new OrderPlanner(snapshot).plan();
  }

  private OrderPlan plan() {
    boolean paused = snapshot.upstreams().stream().anyMatch(it -> failure(it).isPresent());
    for (UpstreamDefinition upstream : snapshot.upstreams()) {
      planUpstream(upstream, paused);
    }
    snapshot.operatorOrders().entrySet().stream()
        .sorted(Map.Entry.comparingByKey())
        .forEach(entry -> planOperatorOrder(entry.getKey(), entry.getValue()));
    Phase phase = phase(paused);
    if (phase == Phase.DONE) {
      finishResumes();
    }
    return new OrderPlan(orders, new OrderStatus(snapshot.service(), phase, statuses), finished);
  }

  private void planUpstream(UpstreamDefinition upstream, boolean paused) {
    Optional<EngineState> reported = state(upstream.name());
    if (reported.isEmpty()) {
      addStatus(upstream, Step.UNREACHABLE, "");
      return;
    }
    EngineState state = reported.get();
    if (snapshot.inFlight().contains(upstream.name())) {
      addStatus(upstream, Step.ORDERED, "");
      return;
    }
    if (failure(upstream).isPresent()) {
      addStatus(upstream, Step.FAILED, failure(upstream).get());
      return;
    }
    Optional<EngineOrder> change = nextChange(upstream, state);
    if (change.isEmpty()) {
      returnToService(upstream, state);
    } else if (isAlreadyOrdered(upstream, state, change.get())) {
      addStatus(upstream, Step.ORDERED, "");
    } else if (change.get().kind().isRequiringIdleEngine()) {
      changeWhenIdle(upstream, state, change.get(), paused);
    } else {
      sendLoad(upstream, change.get());
    }
  }

  private void returnToService(UpstreamDefinition upstream, EngineState state) {
    if (state.leaving() && isDrainedByRollout(state)) {
      send(upstream, names.plain(upstream, EngineOrderKind.RETURN));
    }
  }

  private void changeWhenIdle(
      UpstreamDefinition upstream, EngineState state, EngineOrder change, boolean paused) {
    if (!state.leaving() && isDrainedByRollout(state)) {
      addStatus(upstream, Step.DRAINING, "");
    } else if (!state.leaving()) {
      drain(upstream, state, paused);
    } else if (!isDrainedByRollout(state)) {
      addStatus(upstream, Step.WAITING_FOR_TURN, "leaving by itself");
    } else if (state.busy() > 0) {
      // Guards against a change that interrupts running streams. An engine accepts no more requests
      // only if the same report says that it is leaving and has no requests.
      addStatus(upstream, Step.DRAINING, "");
    } else if (change.kind().isLoadingWeights()) {
      sendLoad(upstream, change);
    } else {
      send(upstream, change);
    }
  }

  private void drain(UpstreamDefinition upstream, EngineState state, boolean paused) {
    if (paused) {
      addStatus(upstream, Step.WAITING_FOR_TURN, "paused");
      return;
    }
    UpstreamRole role = state.role();
    long pool = count(role, false);
    long serving = count(role, true);
    long allowedDrained = Math.max(1, pool / DRAINED_POOL_DIVISOR);
    if (serving <= 1) {
      addStatus(upstream, Step.LAST_OF_ITS_ROLE, "");
    } else if (pool - serving >= allowedDrained) {
      addStatus(upstream, Step.WAITING_FOR_TURN, "");
    } else {
      send(upstream, names.plain(upstream, EngineOrderKind.LEAVE));
    }
  }

  private void sendLoad(UpstreamDefinition upstream, EngineOrder order) {
    if (freeWeightLoads <= 0) {
      addStatus(upstream, Step.WAITING_FOR_WEIGHT_STORE, "");
      return;
    }
    freeWeightLoads--;
    send(upstream, order);
  }

  private void send(UpstreamDefinition upstream, EngineOrder order) {
    orders.add(order);
    addStatus(upstream, Step.ORDERED, "");
  }

  private void addStatus(UpstreamDefinition upstream, Step step, String reason) {
    statuses.add(new UpstreamStatus(upstream.name().value(), step, reason));
  }

  /** Returns the next change towards the desired state; empty if the engine has that state. */
  private Optional<EngineOrder> nextChange(UpstreamDefinition upstream, EngineState state) {
    if (state.role() != upstream.role()) {
      return Optional.of(names.changeRole(upstream));
    }
    boolean loaded =
        state.model().equals(snapshot.model().name())
            && state.version().equals(snapshot.model().version());
    if (!loaded) {
      return Optional.of(names.loadModel(upstream));
    }
    return snapshot.model().adapters().stream()
        .filter(adapter -> !state.adapters().contains(adapter))
        .findFirst()
        .map(adapter -> names.loadAdapter(upstream, adapter));
  }

  /**
   * Returns whether the engine has already received this change, which its reported state may not
   * show yet.
   *
   * <p>The engine's latest order is not sent again unless it has failed.
   */
  private boolean isAlreadyOrdered(
      UpstreamDefinition upstream, EngineState state, EngineOrder change) {
    return latestOrder(state)
        .filter(progress -> progress.state() != State.FAILED)
        .filter(progress -> names.isSameOrder(upstream, change, progress.order()))
        .isPresent();
  }

  private static Optional<OrderProgress> latestOrder(EngineState state) {
    return state.orders().stream().reduce((earlier, later) -> later);
  }

  /**
   * Returns the reason why an order of the current desired state and attempt has failed on an
   * engine.
   */
  private Optional<String> failure(UpstreamDefinition upstream) {
    return state(upstream.name())
        .flatMap(OrderPlanner::latestOrder)
        .filter(progress -> progress.state() == State.FAILED)
        .filter(progress -> names.isOfCurrentAttempt(upstream, progress.order()))
        .map(progress -> progress.reason().orElse(""));
  }

  private static boolean isDrainedByRollout(EngineState state) {
    return state.orders().stream()
        .filter(
            progress ->
                progress.kind() == EngineOrderKind.LEAVE
                    || progress.kind() == EngineOrderKind.RETURN)
        .reduce((earlier, later) -> later)
        .filter(progress -> progress.kind() == EngineOrderKind.LEAVE)
        .filter(progress -> OrderNames.isOfRollout(progress.order()))
        .isPresent();
  }

  /** Returns the number of engines of a role, or only of those that accept new requests. */
  private long count(UpstreamRole role, boolean servingOnly) {
    return snapshot.upstreams().stream()
        .filter(upstream -> roleOf(upstream) == role)
        .filter(upstream -> !servingOnly || isServing(upstream))
        .count();
  }

  private UpstreamRole roleOf(UpstreamDefinition upstream) {
    return state(upstream.name()).map(EngineState::role).orElse(upstream.role());
  }

  private boolean isServing(UpstreamDefinition upstream) {
    boolean ordered = orders.stream().anyMatch(order -> order.upstream().equals(upstream.name()));
    return !ordered
        && !upstream.drained()
        && !snapshot.inFlight().contains(upstream.name())
        && state(upstream.name())
            .filter(state -> !state.leaving() && !isDrainedByRollout(state))
            .isPresent();
  }

  private Optional<EngineState> state(UpstreamName upstream) {
    return Optional.ofNullable(snapshot.states().get(upstream));
  }

  private void planOperatorOrder(String name, OperatorOrder operatorOrder) {
    if (!(operatorOrder instanceof OperatorOrder.Direct direct)) {
      return;
    }
    EngineOrder order = direct.order();
    Optional<UpstreamDefinition> upstream =
        snapshot.upstreams().stream()
            .filter(candidate -> candidate.name().equals(order.upstream()))
            .findFirst();
    Optional<EngineState> state = state(order.upstream());
    if (upstream.isEmpty()) {
      finished.add(name);
    } else if (state.isPresent()) {
      planDirect(name, upstream.get(), state.get(), order);
    }
  }

  private void planDirect(
      String name, UpstreamDefinition upstream, EngineState state, EngineOrder order) {
    Optional<OrderProgress> progress = state.progress(order.order());
    if (progress.isPresent()) {
      if (progress.get().state() != State.RUNNING) {
        finished.add(name);
      }
      return;
    }
    boolean alreadyOrdered =
        snapshot.inFlight().contains(upstream.name())
            || orders.stream().anyMatch(other -> other.upstream().equals(upstream.name()));
    if (alreadyOrdered) {
      return;
    }
    if (order.kind() == EngineOrderKind.LEAVE && count(state.role(), true) <= 1) {
      addStatus(upstream, Step.LAST_OF_ITS_ROLE, "");
    } else if (order.kind().isRequiringIdleEngine() && !(state.leaving() && state.busy() == 0)) {
      addStatus(upstream, Step.DRAINING, "order it to leave first");
    } else if (order.kind().isLoadingWeights()) {
      sendLoad(upstream, order);
    } else {
      send(upstream, order);
    }
  }

  private Phase phase(boolean paused) {
    if (paused) {
      return Phase.PAUSED;
    }
    if (statuses.isEmpty()) {
      return Phase.DONE;
    }
    boolean blocked =
        statuses.stream()
            .allMatch(
                status ->
                    status.step() == Step.LAST_OF_ITS_ROLE || status.step() == Step.UNREACHABLE);
    return blocked ? Phase.BLOCKED : Phase.ROLLING;
  }

  private void finishResumes() {
    snapshot.operatorOrders().entrySet().stream()
        .filter(entry -> entry.getValue() instanceof OperatorOrder.Resume)
        .map(Map.Entry::getKey)
        .forEach(finished::add);
  }
}
