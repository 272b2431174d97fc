package org.marjoramsail.standin.engine;

import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;
import org.marjoramsail.core.model.UpstreamRole;
import org.marjoramsail.standin.engine.EngineBodies.OrderBody;

/** What an order can ask of an engine, what it must name, how long it takes and what it changes. */
enum OrderKind {
  LOAD_MODEL {
    @Override
    boolean accepts(OrderBody order) {
      return order.model().isPresent() && order.version().isPresent();
    }

    @Override
    long durationMillis(EngineTimings timings) {
      return timings.modelLoadMillis();
    }

    @Override
    void apply(OrderBody order, EngineModel engine) {
      engine.identity().load(order.model().orElseThrow(), order.version().orElseThrow());
      engine.clearCache();
    }
  },
  UNLOAD_MODEL {
    @Override
    void apply(OrderBody order, EngineModel engine) {
      engine.identity().unload();
      engine.clearCache();
    }
  },
  LOAD_ADAPTER {
    @Override
    boolean accepts(OrderBody order) {
      return order.adapter().isPresent();
    }

    @Override
    long durationMillis(EngineTimings timings) {
      return timings.adapterLoadMillis();
    }

    @Override
    void apply(OrderBody order, EngineModel engine) {
      engine.identity().loadAdapter(order.adapter().orElseThrow());
    }
  },
  UNLOAD_ADAPTER {
    @Override
    boolean accepts(OrderBody order) {
      return order.adapter().isPresent();
    }

    @Override
    void apply(OrderBody order, EngineModel engine) {
      engine.identity().unloadAdapter(order.adapter().orElseThrow());
    }
  },
  CHANGE_ROLE {
    @Override
    boolean accepts(OrderBody order) {
      return engineRole(order).isPresent();
    }

    @Override
    long durationMillis(EngineTimings timings) {
      return timings.roleChangeMillis();
    }

    @Override
    void apply(OrderBody order, EngineModel engine) {
      engine.identity().change(engineRole(order).orElseThrow());
    }
  },
  LEAVE {
    @Override
    void apply(OrderBody order, EngineModel engine) {
      engine.identity().leave(true);
    }
  },
  RETURN {
    @Override
    void apply(OrderBody order, EngineModel engine) {
      engine.identity().leave(false);
    }
  };

  /** Changes the engine once the order's time is over. */
  abstract void apply(OrderBody order, EngineModel engine);

  /** Whether an order names all that this kind needs. */
  boolean accepts(OrderBody order) {
    return true;
  }

  /** How long the engine needs, in engine milliseconds. */
  long durationMillis(EngineTimings timings) {
    return 0;
  }

  /** The kind with a name as orders write it, such as {@code load-model}. */
  static Optional<OrderKind> of(String code) {
    return Arrays.stream(values()).filter(kind -> kind.code().equals(code)).findFirst();
  }

  String code() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  private static Optional<UpstreamRole> engineRole(OrderBody order) {
    return Arrays.stream(UpstreamRole.values())
        .filter(role -> role != UpstreamRole.PLAIN)
        .filter(role -> order.role().filter(role.name()::equalsIgnoreCase).isPresent())
        .findFirst();
  }
}
