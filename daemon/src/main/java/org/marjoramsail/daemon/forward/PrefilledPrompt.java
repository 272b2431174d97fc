package org.marjoramsail.daemon.forward;

/**
 * A prompt that an upstream has prefilled.
 *
 * @param handle name of its KV cache on that upstream
 * @param tokens length of the prompt in tokens
 */
public record PrefilledPrompt(String handle, int tokens) {}
