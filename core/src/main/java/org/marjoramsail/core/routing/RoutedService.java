package org.marjoramsail.core.routing;

import java.util.Optional;

/**
 * A service that routes lead to.
 *
 * @param name unique
 * @param connections how many connections one of its upstreams accepts from all callers together
 * @param engines what its engines can do; absent for a plain service
 */
public record RoutedService(String name, int connections, Optional<EngineProfile> engines) {}
