package org.marjoramsail.core.order;

import java.util.Optional;
import org.marjoramsail.core.model.UpstreamName;
import org.marjoramsail.core.model.UpstreamRole;

/**
 * One order to one engine; carrying it out twice changes nothing more.
 *
 * @param order names it; the same wish tried again has another name
 * @param upstream the engine
 * @param kind what to do
 * @param model present for models
 * @param version present for loading a model
 * @param adapter present for adapters
 * @param role present for a change of role
 */
public record EngineOrder(
    String order,
    UpstreamName upstream,
    EngineOrderKind kind,
    Optional<String> model,
    Optional<String> version,
    Optional<String> adapter,
    Optional<UpstreamRole> role) {

  /** An order that needs nothing beside its kind. */
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
