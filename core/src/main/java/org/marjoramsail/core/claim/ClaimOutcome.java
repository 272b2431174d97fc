package org.marjoramsail.core.claim;

/**
 * How a claimed request ended.
 *
 * @param state the end; never {@code CLAIMED}
 * @param status the HTTP status of its answer; zero where there was none
 * @param summary a short text for a repeat, cut to {@value #MAXIMUM_SUMMARY} characters
 */
public record ClaimOutcome(ClaimState state, int status, String summary) {

  /** How long a summary can be, in characters; bounds the size of a page. */
  public static final int MAXIMUM_SUMMARY = 128;

  /** Cuts the summary and refuses a state that is no end. */
  public ClaimOutcome {
    if (state == ClaimState.CLAIMED) {
      throw new IllegalArgumentException("CLAIMED is no outcome; allowed are the other states.");
    }
    summary = summary.substring(0, Math.min(summary.length(), MAXIMUM_SUMMARY));
  }
}
