package org.marjoramsail.daemon.forward;

import java.util.Optional;
import java.util.function.Function;
import java.util.function.ObjLongConsumer;
import org.marjoramsail.core.configuration.UpstreamDefinition;
import org.marjoramsail.core.model.UpstreamName;
import org.marjoramsail.core.time.Clock;

/**
 * Dependencies of a forwarded request.
 *
 * @param protocol names of headers and fields on the wire
 * @param connections pool of connections to upstreams
 * @param calls tracks the calls in flight
 * @param bufferedBytes counts the bytes of responses that are buffered
 * @param upstreams finds upstreams by name
 * @param handleLifetimeMillis returns the lifetime of the KV caches of a service, in milliseconds
 * @param liveness receives reports about the liveness of upstreams
 * @param probes finds out whether an upstream still runs after a cut
 * @param feedback records what upstreams report of themselves
 * @param streams origins of streams that callers may resume
 * @param completionListener receives the output length of completed streams
 * @param plainResponseTimes receives the duration of buffered responses by service, in milliseconds
 * @param runTimes receives the duration of requests that were served by route, in milliseconds
 * @param connectionCloseHeader closes connections while this daemon stops
 * @param refusals writes refusals
 * @param clock returns the current time
 */
record ForwardDependencies(
    ForwardingProtocol protocol,
    UpstreamConnections connections,
    CallLog calls,
    BufferedBytes bufferedBytes,
    Function<UpstreamName, Optional<UpstreamDefinition>> upstreams,
    Function<String, Long> handleLifetimeMillis,
    LivenessListener liveness,
    UpstreamProbes probes,
    UpstreamFeedbackRecorder feedback,
    StreamDirectory streams,
    CompletionListener completionListener,
    ObjLongConsumer<String> plainResponseTimes,
    ObjLongConsumer<String> runTimes,
    ConnectionCloseHeader connectionCloseHeader,
    RefusalWriter refusals,
    Clock clock) {}
