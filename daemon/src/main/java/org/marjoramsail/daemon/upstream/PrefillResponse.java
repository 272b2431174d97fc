package org.marjoramsail.daemon.upstream;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;

/**
 * The answer of a prefill call.
 *
 * @param handle name of the KV cache
 * @param promptTokens length of the prompt
 * @param cachedTokens how much of it was cached
 * @param tookMillis how long it took
 * @param lifetimeMillis how long the KV cache lives
 */
@JsonIgnoreProperties(ignoreUnknown = true)
public record PrefillResponse(
    String handle, int promptTokens, int cachedTokens, long tookMillis, long lifetimeMillis) {}
