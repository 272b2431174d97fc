package org.marjoramsail.core.claim;

/**
 * Outcome of a claimed request.
 *
 * @param state the final state; never {@code CLAIMED}
 * @param status HTTP status of the response; zero if there was none
 * @param summary short text returned to a repeated request, truncated to {@value #MAXIMUM_SUMMARY}
 *     characters
 */
public record ClaimOutcome(ClaimState state, int status, String summary) {

  /** Maximum length of a summary in characters, which bounds the size of a page. */
  public static final int MAXIMUM_SUMMARY = 128;

  /** Truncates the summary and rejects a state that is not final. */
  public ClaimOutcome {
    if (state == ClaimState.CLAIMED) {
      throw new IllegalArgumentException(
          "CLAIMED is not a final state; all other states are allowed.");
    }
    summary = summary.substring(0, Math.min(summary.length(), MAXIMUM_SUMMARY));
  }
}
