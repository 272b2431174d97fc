package org.marjoramsail.core.order;

import java.util.List;
import java.util.Optional;
import org.marjoramsail.core.model.UpstreamName;
import org.marjoramsail.core.model.UpstreamRole;

/**
 * What an engine said when it was last asked.
 *
 * @param upstream the engine
 * @param role the role that it has
 * @param model the model that it has loaded; empty for none
 * @param version the version of that model
 * @param adapters the adapters that it has loaded
 * @param busy how many requests it runs or has accepted
 * @param leaving whether it takes no new work
 * @param orders its latest orders, oldest first
 */
public record EngineState(
    UpstreamName upstream,
    UpstreamRole role,
    String model,
    String version,
    List<String> adapters,
    int busy,
    boolean leaving,
    List<OrderProgress> orders) {

  /** Copies the lists, so that the value cannot change. */
  public EngineState {
    adapters = List.copyOf(adapters);
    orders = List.copyOf(orders);
  }

  /** The order of this name, if the engine remembers it. */
  public Optional<OrderProgress> progress(String order) {
    return orders.stream().filter(entry -> entry.order().equals(order)).reduce((a, b) -> b);
  }

  /** Whether it is loading weights now. */
  public boolean isLoadingWeights() {
    return orders.stream()
        .anyMatch(
            entry ->
                entry.kind().isLoadingWeights() && entry.state() == OrderProgress.State.RUNNING);
  }
}
