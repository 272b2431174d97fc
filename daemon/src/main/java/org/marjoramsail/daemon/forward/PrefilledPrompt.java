package org.marjoramsail.daemon.forward;

/**
 * A prompt that was read.
 *
 * @param handle name of its KV cache on the upstream that read it
 * @param tokens its length
 */
public record PrefilledPrompt(String handle, int tokens) {}
