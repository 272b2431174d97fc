package org.marjoramsail.standin.engine;

/** The engine that holds a KV cache, and the handle of the cache there. */
record KvSource(String address, int port, String handle) {}
