package org.marjoramsail.core.placement;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.Optional;
import org.marjoramsail.core.model.RequestId;
import org.marjoramsail.core.model.UpstreamName;

/**
 * Upstreams for one attempt of one request, reserved until it is released.
 *
 * @param request the request
 * @param attempt the attempt that asked
 * @param mode how the upstreams share the work
 * @param prefill the upstream that reads the prompt; present when {@code mode} transfers
 * @param target the upstream that generates or answers
 * @param expectedPrefillMillis estimate for reading the prompt
 * @param expectedTransferMillis estimate for moving its KV cache
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
