package org.marjoramsail.core.order;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.marjoramsail.core.configuration.ModelDefinition;
import org.marjoramsail.core.configuration.UpstreamDefinition;
import org.marjoramsail.core.model.UpstreamName;

/**
 * All that the next orders of one service depend on.
 *
 * @param service its name
 * @param model what its engines should have loaded
 * @param upstreams its engines, as configured
 * @param states what each engine said after the last order to it; absent where it did not answer
 * @param inFlight engines with an order that was sent and not yet seen in their state
 * @param operatorOrders what operators ordered for it, by name
 * @param freeWeightLoads how many loads may begin now
 */
public record ServiceSnapshot(
    String service,
    ModelDefinition model,
    List<UpstreamDefinition> upstreams,
    Map<UpstreamName, EngineState> states,
    Set<UpstreamName> inFlight,
    Map<String, OperatorOrder> operatorOrders,
    int freeWeightLoads) {

  /** Copies the collections, so that the value cannot change. */
  public ServiceSnapshot {
    upstreams = List.copyOf(upstreams);
    states = Map.copyOf(states);
    inFlight = Set.copyOf(inFlight);
    operatorOrders = Map.copyOf(operatorOrders);
  }
}
