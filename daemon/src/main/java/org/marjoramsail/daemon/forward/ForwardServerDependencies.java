package org.marjoramsail.daemon.forward;

import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.marjoramsail.core.configuration.UpstreamDefinition;
import org.marjoramsail.core.failure.Refusal;
import org.marjoramsail.core.model.DaemonId;
import org.marjoramsail.core.model.UpstreamName;
import org.marjoramsail.core.routing.OutputForecast;
import org.marjoramsail.core.routing.RoutingConfiguration;
import org.marjoramsail.core.time.Clock;
import org.marjoramsail.daemon.request.RequestRegistry;

/**
 * What the forwarding side needs of the rest of the daemon.
 *
 * @param daemon this daemon
 * @param protocol the names on the wire
 * @param routing gives the newest routes; empty before the first were heard of
 * @param registry runs requests
 * @param upstreams finds upstreams by name
 * @param handleLifetimeMillis how long KV caches of a service live, in milliseconds
 * @param tokensPerEvent how many tokens an event of a service's streams carries
 * @param liveness hears signs of life
 * @param feedback hears what upstreams say of themselves
 * @param forecast foretells how long answers will be
 * @param refused hears of requests that are refused before they are registered
 * @param clock tells the time
 * @param random spreads the return of callers
 */
public record ForwardServerDependencies(
    DaemonId daemon,
    ForwardingProtocol protocol,
    Supplier<Optional<RoutingConfiguration>> routing,
    RequestRegistry registry,
    Function<UpstreamName, Optional<UpstreamDefinition>> upstreams,
    Function<String, Long> handleLifetimeMillis,
    Function<String, Integer> tokensPerEvent,
    LivenessListener liveness,
    UpstreamFeedbackRecorder feedback,
    OutputForecast forecast,
    Consumer<Refusal> refused,
    Clock clock,
    RandomGenerator random) {}
