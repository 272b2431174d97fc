package org.marjoramsail.core.placement;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.Optional;
import org.marjoramsail.core.model.RequestId;
import org.marjoramsail.core.model.UpstreamName;

/**
 * Upstreams that are reserved for one attempt of a request until it is released.
 *
 * @param request the request
 * @param attempt the number of the attempt
 * @param mode how the upstreams divide the work
 * @param prefill the upstream that prefills the prompt; present when {@code mode} transfers a KV
 *     cache
 * @param target the upstream that generates the output or responds
 * @param expectedPrefillMillis estimated time of the prefill
 * @param expectedTransferMillis estimated time of the KV cache transfer
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record Grant(
    RequestId request,
    int attempt,
    GrantMode mode,
    Optional<UpstreamName> prefill,
    UpstreamName target,
    long expectedPrefillMillis,
    long expectedTransferMillis) {}
