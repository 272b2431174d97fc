package org.marjoramsail.daemon.operator;

import org.marjoramsail.core.model.UpstreamName;

/**
 * An order to an engine.
 *
 * @param order names it
 * @param kind what is ordered, such as load-model
 * @param upstream the engine
 * @param state how far it is
 * @param reason why it waits or failed; empty otherwise
 * @param orderedBy who ordered it
 * @param token the fencing token that it carries
 */
public record EngineOrderView(
    String order,
    String kind,
    UpstreamName upstream,
    String state,
    String reason,
    String orderedBy,
    long token) {}
