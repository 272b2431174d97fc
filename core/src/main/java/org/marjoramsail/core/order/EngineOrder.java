package org.marjoramsail.core.order;

import java.util.Optional;
import org.marjoramsail.core.model.UpstreamName;
import org.marjoramsail.core.model.UpstreamRole;

/**
 * An idempotent order to one engine.
 *
 * @param order name of the order; a new attempt to reach the same desired state has another name
 * @param upstream the engine
 * @param kind kind of the order
 * @param model name of the model; present for orders about models
 * @param version version of the model; present for loading a model
 * @param adapter name of the adapter; present for orders about adapters
 * @param role the new role; present for a change of role
 */
public record EngineOrder(
    String order,
    UpstreamName upstream,
    EngineOrderKind kind,
    Optional<String> model,
    Optional<String> version,
    Optional<String> adapter,
    Optional<UpstreamRole> role) {

  /** Returns an order without parameters. */
  public static EngineOrder plain(String order, UpstreamName upstream, EngineOrderKind kind) {
    return new EngineOrder(
        order,
        upstream,
        kind,
        Optional.empty(),
        Optional.empty(),
        Optional.empty(),
        Optional.empty());
  }
}
