package org.marjoramsail.core.outcome;

/**
 * The end of a whole answer.
 *
 * @param finishReason why the engine stopped, in its words
 * @param promptTokens length of the prompt
 * @param cachedTokens how much of it an engine had in its cache
 * @param outputTokens length of the answer
 */
public record Completion(
    String finishReason, int promptTokens, int cachedTokens, int outputTokens) {}
