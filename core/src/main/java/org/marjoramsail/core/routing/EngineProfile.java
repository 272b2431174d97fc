package org.marjoramsail.core.routing;

/**
 * What a service says of its model engines.
 *
 * @param slots how many requests one engine runs at once
 * @param memoryTokens how many tokens of KV cache one engine holds
 * @param kvBytesPerToken bytes of KV cache for each token
 * @param linkBytesPerMilli rate of the link of one engine, bytes a millisecond
 * @param tokensPerEvent how many tokens one event of a stream carries
 * @param handleMillis how long a KV cache lives after its prefill
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
