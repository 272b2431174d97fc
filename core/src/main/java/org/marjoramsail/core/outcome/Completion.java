package org.marjoramsail.core.outcome;

/**
 * End of a complete output.
 *
 * @param finishReason reason for which the engine stopped, in its terms
 * @param promptTokens length of the prompt
 * @param cachedTokens number of prompt tokens that an engine had in its cache
 * @param outputTokens length of the output
 * @param trailingText rest of the stream after its last token, such as an event without an
 *     identifier; sent to the caller unchanged
 */
public record Completion(
    String finishReason,
    int promptTokens,
    int cachedTokens,
    int outputTokens,
    String trailingText) {}
