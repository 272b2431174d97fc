package org.marjoramsail.daemon.operator;

import java.util.Optional;
import org.marjoramsail.core.model.UpstreamName;

/**
 * An order to an engine.
 *
 * @param order names it
 * @param kind what is ordered, such as load-model
 * @param upstream the engine; absent for an order to a whole service
 * @param state how far it is
 * @param reason why it waits or failed; empty otherwise
 * @param orderedBy who ordered it
 * @param token the fencing token that it carries
 */
public record EngineOrderView(
    String order,
    String kind,
    Optional<UpstreamName> upstream,
    String state,
    String reason,
    String orderedBy,
    long token) {}
