package org.marjoramsail.core.routing;

/**
 * Capacity and timing of the model engines of a service, as its configuration states them.
 *
 * @param slots number of requests that one engine runs concurrently
 * @param memoryTokens capacity of the KV cache of one engine, in tokens
 * @param kvBytesPerToken bytes of KV cache for each token
 * @param linkBytesPerMilli bandwidth of the network link of one engine, in bytes per millisecond
 * @param tokensPerEvent number of tokens in one event of a stream
 * @param handleMillis lifetime of a KV cache after its prefill
 * @param roleChangeMillis how long an engine takes to change its role
 */
public record EngineProfile(
    int slots,
    int memoryTokens,
    long kvBytesPerToken,
    double linkBytesPerMilli,
    int tokensPerEvent,
    long handleMillis,
    long roleChangeMillis) {}
