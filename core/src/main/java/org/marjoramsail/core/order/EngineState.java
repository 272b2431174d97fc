package org.marjoramsail.core.order;

import java.util.List;
import java.util.Optional;
import org.marjoramsail.core.model.UpstreamName;
import org.marjoramsail.core.model.UpstreamRole;

/**
 * State that an engine last reported.
 *
 * @param upstream the engine
 * @param role its present role
 * @param model the loaded model; empty for none
 * @param version the version of that model
 * @param adapters the loaded adapters
 * @param busy number of requests that it runs or has accepted
 * @param leaving whether it accepts no new requests
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

  /** Copies the lists, so that the record is immutable. */
  public EngineState {
    adapters = List.copyOf(adapters);
    orders = List.copyOf(orders);
  }

  /** Returns the progress of the named order if the engine still reports that order. */
  public Optional<OrderProgress> progress(String order) {
    return orders.stream().filter(entry -> entry.order().equals(order)).reduce((a, b) -> b);
  }

  /** Returns whether the engine is loading weights. */
  public boolean isLoadingWeights() {
    return orders.stream()
        .anyMatch(
            entry ->
                entry.kind().isLoadingWeights() && entry.state() == OrderProgress.State.RUNNING);
  }
}
