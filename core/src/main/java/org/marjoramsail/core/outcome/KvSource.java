package org.marjoramsail.core.outcome;

import org.marjoramsail.core.model.UpstreamName;

/**
 * A KV cache that a prefill upstream holds for a short time.
 *
 * @param holder where it is
 * @param attempt the attempt that made it, under which it is cancelled
 * @param handle its name on the holder
 * @param promptTokens length of the prompt that it was made from
 * @param expiresAtMillis when the holder drops it, on the clock of this daemon
 */
public record KvSource(
    UpstreamName holder, int attempt, String handle, int promptTokens, long expiresAtMillis) {}
