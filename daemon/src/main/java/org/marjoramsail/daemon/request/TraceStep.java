package org.marjoramsail.daemon.request;

import java.util.Optional;
import org.marjoramsail.core.model.UpstreamName;

/**
 * One step on a request's way.
 *
 * @param afterMillis how long after its arrival
 * @param kind what happened
 * @param attempt which attempt; zero before the first
 * @param upstream the upstream that it concerns
 * @param reason code of the refusal, retry or failure reason
 */
public record TraceStep(
    long afterMillis,
    TraceKind kind,
    int attempt,
    Optional<UpstreamName> upstream,
    Optional<String> reason) {}
