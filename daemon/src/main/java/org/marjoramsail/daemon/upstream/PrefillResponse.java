package org.marjoramsail.daemon.upstream;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;

/**
 * Response of an engine to a prefill request.
 *
 * @param handle name of the KV cache
 * @param promptTokens length of the prompt
 * @param cachedTokens number of cached prompt tokens
 * @param tookMillis duration of the prefill
 * @param lifetimeMillis time until the KV cache expires
 */
@JsonIgnoreProperties(ignoreUnknown = true)
public record PrefillResponse(
    String handle, int promptTokens, int cachedTokens, long tookMillis, long lifetimeMillis) {}
