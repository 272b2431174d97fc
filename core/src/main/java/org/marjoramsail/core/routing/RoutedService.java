package org.marjoramsail.core.routing;

import java.util.Optional;

/**
 * A service to which routes forward requests.
 *
 * @param name unique name of the service
 * @param connections maximum number of connections that one of its upstreams accepts from all
 *     clients together
 * @param engines capacity and timing of its engines; empty for a plain service
 */
public record RoutedService(String name, int connections, Optional<EngineProfile> engines) {}
