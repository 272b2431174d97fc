package org.marjoramsail.daemon.forward;

import io.micrometer.core.instrument.MeterRegistry;
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
 * Dependencies of the forwarding server on the other parts of the daemon.
 *
 * @param daemon this daemon
 * @param protocol names of headers and fields on the wire
 * @param routing returns the newest routes; empty until the first are received
 * @param registry runs requests
 * @param upstreams finds upstreams by name
 * @param handleLifetimeMillis returns the lifetime of the KV caches of a service, in milliseconds
 * @param tokensPerEvent returns the number of tokens in an event of a service's streams
 * @param liveness receives reports about the liveness of upstreams
 * @param feedback records what upstreams report of themselves
 * @param streams origins of streams that callers may resume
 * @param routes tells whether the routes are the newest
 * @param versions software versions in the list of upstreams
 * @param lists brings the list of upstreams up to date
 * @param meters counts resumed streams
 * @param forecast predicts output lengths
 * @param refused receives requests that are refused before they are registered
 * @param bodyMemoryBytes maximum number of bytes of all request bodies that are held
 * @param connectFaults {@link ConnectFaults#NONE} outside of tests
 * @param relays daemons that relay calls to upstreams that this one does not reach
 * @param relayToken authorizes other daemons to send calls to be relayed
 * @param clock returns the current time
 * @param random adds jitter to the retry times of callers
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
    StreamDirectory streams,
    RoutesStatus routes,
    ListedVersions versions,
    ListConfirmation lists,
    MeterRegistry meters,
    OutputForecast forecast,
    Consumer<Refusal> refused,
    long bodyMemoryBytes,
    ConnectFaults connectFaults,
    Relays relays,
    String relayToken,
    Clock clock,
    RandomGenerator random) {}
