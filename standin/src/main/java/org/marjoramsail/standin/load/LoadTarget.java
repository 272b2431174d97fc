package org.marjoramsail.standin.load;

import java.util.Optional;

/**
 * A daemon, or whatever else takes callers' requests.
 *
 * @param name its name in reports
 * @param address an IP number
 * @param port where it takes callers
 * @param readinessPort where {@code GET /health/ready} says whether it takes new work; without one
 *     it counts as ready
 */
public record LoadTarget(String name, String address, int port, Optional<Integer> readinessPort) {}
