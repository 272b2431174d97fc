package org.marjoramsail.daemon.forward;

import java.util.Optional;
import java.util.OptionalInt;
import org.marjoramsail.core.model.UpstreamName;
import org.marjoramsail.daemon.upstream.KvLocation;

/**
 * Parameters that are sent to an upstream in addition to the caller's request.
 *
 * @param upstream the only upstream that may accept the request
 * @param remainingMillis time until the deadline of the request, in milliseconds
 * @param prefill whether only the prompt is to be prefilled
 * @param kv location of the KV cache of the prompt
 * @param resumeAfter id of the last event that the caller received, if any
 * @param organisation organisation of the caller; empty if unknown
 * @param priority urgency of the request among those of its engine, from zero for the most urgent;
 *     empty if the engine needs none
 */
public record ForwardParameters(
    UpstreamName upstream,
    long remainingMillis,
    boolean prefill,
    Optional<KvLocation> kv,
    OptionalInt resumeAfter,
    Optional<String> organisation,
    OptionalInt priority) {}
