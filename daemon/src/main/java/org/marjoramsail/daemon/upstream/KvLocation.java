package org.marjoramsail.daemon.upstream;

/**
 * Where a decode engine fetches a KV cache.
 *
 * @param address IP number of the prefill engine
 * @param port its TCP port
 * @param handle name of the KV cache
 */
public record KvLocation(String address, int port, String handle) {}
