package org.marjoramsail.daemon.request;

import java.util.Optional;
import org.marjoramsail.core.model.UpstreamName;

/**
 * One step in the trace of a request.
 *
 * @param afterMillis time since the arrival of the request
 * @param kind kind of the step
 * @param attempt number of the attempt; zero before the first
 * @param upstream the upstream of the step, if any
 * @param reason code of the refusal, retry or failure reason, or what was expected of a grant
 */
public record TraceStep(
    long afterMillis,
    TraceKind kind,
    int attempt,
    Optional<UpstreamName> upstream,
    Optional<String> reason) {}
