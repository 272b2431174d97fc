package org.marjoramsail.core.order;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.marjoramsail.core.configuration.ModelDefinition;
import org.marjoramsail.core.configuration.UpstreamDefinition;
import org.marjoramsail.core.model.UpstreamName;
import org.marjoramsail.core.model.UpstreamRole;
import org.marjoramsail.core.order.OrderProgress.State;
import org.marjoramsail.core.order.OrderStatus.Phase;
import org.marjoramsail.core.order.OrderStatus.Step;

final class OrderPlannerTest {

  private static final ModelDefinition V2 =
      new ModelDefinition("lector-8b", "v2", List.of("clerk"), 1_000);

  /** A fake engine that executes orders and can be kept busy or made to fail. */
  private static final class Engine {
    final UpstreamDefinition definition;
    final List<OrderProgress> orders = new ArrayList<>();
    UpstreamRole role;
    String version = "v1";
    List<String> adapters = List.of();
    int busy;
    boolean leaving;
    boolean failing;

    Engine(int number, UpstreamRole desiredRole, UpstreamRole role) {
      this.role = role;
      this.definition =
          new UpstreamDefinition(
              new UpstreamName("lector-" + number),
              "lector",
              desiredRole,
              "10.0.0.1",
              9_000 + number,
              "a",
              "r",
              20,
              true,
              false);
    }

    EngineState state() {
      return new EngineState(
          definition.name(), role, "lector-8b", version, adapters, busy, leaving, orders);
    }

    void take(EngineOrder order) {
      assertThat(order.kind().isRequiringIdleEngine() && (busy > 0 || !leaving)).isFalse();
      boolean repeated = orders.stream().anyMatch(earlier -> earlier.order().equals(order.order()));
      if (repeated) {
        return;
      }
      boolean slow = order.kind().isLoadingWeights() || failing;
      State state = failing ? State.FAILED : slow ? State.RUNNING : State.DONE;
      orders.add(
          new OrderProgress(
              order.order(), order.kind(), state, failing ? Optional.of("bad") : Optional.empty()));
      if (state != State.FAILED) {
        carryOut(order);
      }
    }

    private void carryOut(EngineOrder order) {
      leaving =
          order.kind() == EngineOrderKind.LEAVE
              || (leaving && order.kind() != EngineOrderKind.RETURN);
      order.version().ifPresent(value -> version = value);
      order.adapter().ifPresent(value -> adapters = List.of(value));
      order.role().ifPresent(value -> role = value);
    }

    void finishLoads() {
      orders.replaceAll(
          earlier ->
              earlier.state() == State.RUNNING
                  ? new OrderProgress(earlier.order(), earlier.kind(), State.DONE, earlier.reason())
                  : earlier);
    }
  }

  private final List<Engine> engines = new ArrayList<>();
  private final Map<String, OperatorOrder> operatorOrders = new HashMap<>();

  private void pool(int size, UpstreamRole role) {
    for (int number = 0; number < size; number++) {
      engines.add(new Engine(engines.size(), role, role));
    }
  }

  private OrderPlan plan(ModelDefinition model) {
    Map<UpstreamName, EngineState> states = new HashMap<>();
    engines.forEach(engine -> states.put(engine.definition.name(), engine.state()));
    long loading = states.values().stream().filter(EngineState::isLoadingWeights).count();
    return OrderPlanner.plan(
        new ServiceSnapshot(
            "lector",
            model,
            engines.stream().map(engine -> engine.definition).toList(),
            states,
            Set.of(),
            operatorOrders,
            (int) Math.max(0, 2 - loading)));
  }

  private OrderPlan round(ModelDefinition model) {
    OrderPlan plan = plan(model);
    for (EngineOrder order : plan.orders()) {
      engines.stream()
          .filter(engine -> engine.definition.name().equals(order.upstream()))
          .forEach(engine -> engine.take(order));
    }
    return plan;
  }

  private long drainedCount(UpstreamRole role) {
    return engines.stream().filter(engine -> engine.role == role && engine.leaving).count();
  }

  @Property(seed = "63", tries = 60)
  void aRollingUpdateNeverDrainsMoreThanAQuarterOfAPoolAndCompletes(
      @ForAll @IntRange(min = 2, max = 13) int decoders,
      @ForAll @IntRange(min = 2, max = 5) int prefillers,
      @ForAll @Size(60) List<@IntRange(min = 0, max = 99) Integer> choices) {
    engines.clear();
    pool(decoders, UpstreamRole.DECODE);
    pool(prefillers, UpstreamRole.PREFILL);
    engines.forEach(engine -> engine.busy = 1);
    for (int choice : choices) {
      round(V2);
      Engine engine = engines.get(choice % engines.size());
      engine.busy = choice % 3;
      if (choice % 2 == 0) {
        engines.forEach(Engine::finishLoads);
      }
      assertThat(drainedCount(UpstreamRole.DECODE)).isLessThanOrEqualTo(Math.max(1, decoders / 4));
      assertThat(drainedCount(UpstreamRole.PREFILL))
          .isLessThanOrEqualTo(Math.max(1, prefillers / 4));
      long loads = engines.stream().filter(it -> it.state().isLoadingWeights()).count();
      assertThat(loads).isLessThanOrEqualTo(2);
    }
    engines.forEach(engine -> engine.busy = 0);
    for (int finalRound = 0; finalRound < 120; finalRound++) {
      round(V2);
      engines.forEach(Engine::finishLoads);
    }
    assertThat(plan(V2).status().phase()).isEqualTo(Phase.DONE);
    assertThat(engines).allMatch(engine -> engine.version.equals("v2") && !engine.leaving);
  }

  @Test
  void theLastServingEngineOfItsRoleIsNotDrained() {
    pool(1, UpstreamRole.DECODE);

    OrderPlan plan = plan(V2);

    assertThat(plan.orders()).isEmpty();
    assertThat(plan.status().phase()).isEqualTo(Phase.BLOCKED);
    assertThat(plan.status().upstreams().get(0).step()).isEqualTo(Step.LAST_OF_ITS_ROLE);
  }

  @Test
  void aRoleChangesOnlyAfterTheEngineIsIdle() {
    pool(3, UpstreamRole.DECODE);
    Engine changing = new Engine(3, UpstreamRole.PREFILL, UpstreamRole.DECODE);
    changing.busy = 2;
    engines.add(changing);
    engines.forEach(
        engine -> {
          engine.version = "v2";
          engine.adapters = List.of("clerk");
        });

    round(V2);
    OrderPlan waiting = round(V2);
    assertThat(waiting.orders()).isEmpty();
    assertThat(waiting.status().upstreams().get(0).step()).isEqualTo(Step.DRAINING);
    changing.busy = 0;
    round(V2);
    assertThat(changing.role).isEqualTo(UpstreamRole.PREFILL);
    round(V2);
    assertThat(changing.leaving).isFalse();
  }

  @Test
  void aFailedLoadPausesTheRolloutUntilTheOldVersionIsConfiguredOrItIsResumed() {
    // Guards against a rollout that drains one engine after the other although the new version
    // does not load.
    pool(4, UpstreamRole.DECODE);
    round(V2);
    Engine first = engines.get(0);
    first.failing = true;
    round(V2);
    OrderPlan paused = round(V2);
    assertThat(paused.orders()).isEmpty();
    assertThat(paused.status().phase()).isEqualTo(Phase.PAUSED);
    assertThat(paused.status().upstreams().get(0).reason()).isEqualTo("bad");
    first.failing = false;

    ModelDefinition old = new ModelDefinition("lector-8b", "v1", List.of(), 1_000);
    round(old);
    assertThat(first.leaving).isFalse();
    assertThat(plan(old).status().phase()).isEqualTo(Phase.DONE);

    operatorOrders.put("again", new OperatorOrder.Resume("lector", "ana"));
    for (int rounds = 0; rounds < 60; rounds++) {
      round(V2);
      engines.forEach(Engine::finishLoads);
    }
    assertThat(engines).allMatch(engine -> engine.version.equals("v2"));
    assertThat(plan(V2).finished()).containsExactly("again");
  }
}
