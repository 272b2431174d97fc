package org.marjoramsail.core.order;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.marjoramsail.core.configuration.ModelDefinition;
import org.marjoramsail.core.configuration.UpstreamDefinition;
import org.marjoramsail.core.model.UpstreamName;

/**
 * Configuration and reported state of one service, from which its next orders are planned.
 *
 * @param service name of the service
 * @param model the model that its engines should have loaded
 * @param upstreams its engines, as configured
 * @param states the state that each engine reported; absent for engines that did not respond
 * @param inFlight engines with an order that was sent and that their states do not reflect yet
 * @param operatorOrders operators' orders for the service, by name
 * @param freeWeightLoads number of weight loads that may start now
 */
public record ServiceSnapshot(
    String service,
    ModelDefinition model,
    List<UpstreamDefinition> upstreams,
    Map<UpstreamName, EngineState> states,
    Set<UpstreamName> inFlight,
    Map<String, OperatorOrder> operatorOrders,
    int freeWeightLoads) {

  /** Copies the collections, so that the record is immutable. */
  public ServiceSnapshot {
    upstreams = List.copyOf(upstreams);
    states = Map.copyOf(states);
    inFlight = Set.copyOf(inFlight);
    operatorOrders = Map.copyOf(operatorOrders);
  }
}
