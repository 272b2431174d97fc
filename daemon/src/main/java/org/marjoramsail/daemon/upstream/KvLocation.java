package org.marjoramsail.daemon.upstream;

/**
 * Location from which a decode engine fetches a KV cache.
 *
 * @param address IP address of the prefill engine
 * @param port its TCP port
 * @param handle name of the KV cache
 */
public record KvLocation(String address, int port, String handle) {}
