package org.marjoramsail.daemon.request;

import java.util.Optional;
import java.util.concurrent.Executor;
import org.marjoramsail.core.outcome.LifecyclePolicy;
import org.marjoramsail.core.outcome.RequestProfile;

/**
 * Request that has to be registered.
 *
 * @param profile properties of the request
 * @param policy limits of its attempts and waiting times
 * @param sender sends its attempts to upstreams
 * @param claim the claim that has to be recorded before it is sent
 * @param perTokenTargetMillis target for the mean time between tokens, for metrics
 * @param latencyTargets its latency targets
 * @param sink receives its output
 * @param caller tells whether its caller still waits
 * @param executor runs tasks one after another, among them the calls of the sink
 */
public record NewRequest(
    RequestProfile profile,
    LifecyclePolicy policy,
    AttemptSender sender,
    Optional<ClaimRequest> claim,
    long perTokenTargetMillis,
    LatencyTargets latencyTargets,
    CallerSink sink,
    CallerPresence caller,
    Executor executor) {}
