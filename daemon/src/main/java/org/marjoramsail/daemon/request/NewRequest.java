package org.marjoramsail.daemon.request;

import java.util.Optional;
import java.util.concurrent.Executor;
import org.marjoramsail.core.outcome.LifecyclePolicy;
import org.marjoramsail.core.outcome.RequestProfile;

/**
 * A request that is to be registered.
 *
 * @param profile what decisions need
 * @param policy bounds of its tries and waits
 * @param sender brings its attempts to upstreams
 * @param claim the claim that has to be recorded first
 * @param perTokenTargetMillis target between tokens on average, for the measures
 * @param latencyTargets when its answer counts as in time
 * @param sink where its answer goes
 * @param executor runs tasks one after another; the sink is called on it
 */
public record NewRequest(
    RequestProfile profile,
    LifecyclePolicy policy,
    AttemptSender sender,
    Optional<ClaimRequest> claim,
    long perTokenTargetMillis,
    LatencyTargets latencyTargets,
    CallerSink sink,
    Executor executor) {}
