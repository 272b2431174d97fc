package org.marjoramsail.daemon.forward;

import java.util.Optional;
import java.util.function.Function;
import java.util.function.ObjLongConsumer;
import org.marjoramsail.core.configuration.UpstreamDefinition;
import org.marjoramsail.core.model.UpstreamName;
import org.marjoramsail.core.time.Clock;

/**
 * Whom a forwarded request needs.
 *
 * @param protocol the names on the wire
 * @param connections the way to upstreams
 * @param upstreams finds upstreams by name
 * @param handleLifetimeMillis how long KV caches of a service live, in milliseconds
 * @param liveness hears signs of life
 * @param feedback hears what upstreams say of themselves
 * @param completionListener hears how long streams are
 * @param plainResponseTimes hears how long plain answers of a service take, in milliseconds
 * @param connectionCloseHeader marks answers while this daemon stops
 * @param refusals writes answers of this program
 * @param clock tells the time
 */
record ForwardDependencies(
    ForwardingProtocol protocol,
    UpstreamConnections connections,
    Function<UpstreamName, Optional<UpstreamDefinition>> upstreams,
    Function<String, Long> handleLifetimeMillis,
    LivenessListener liveness,
    UpstreamFeedbackRecorder feedback,
    CompletionListener completionListener,
    ObjLongConsumer<String> plainResponseTimes,
    ConnectionCloseHeader connectionCloseHeader,
    RefusalWriter refusals,
    Clock clock) {}
