package org.marjoramsail.core.outcome;

import org.marjoramsail.core.model.UpstreamName;

/**
 * A KV cache that a prefill upstream holds for a limited time.
 *
 * @param holder the prefill upstream
 * @param attempt attempt that computed the KV cache, needed to cancel it
 * @param handle KV handle on the prefill upstream
 * @param promptTokens length of the prompt
 * @param expiresAtMillis time at which the KV cache expires, on the clock of this daemon
 */
public record KvSource(
    UpstreamName holder, int attempt, String handle, int promptTokens, long expiresAtMillis) {}
