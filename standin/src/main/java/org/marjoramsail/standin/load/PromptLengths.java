package org.marjoramsail.standin.load;

import java.util.random.RandomGenerator;

/**
 * How long prompts and answers are: log-normal, cut at both ends.
 *
 * @param medianStoryTokens the median of the text to read
 * @param spread the standard deviation of the logarithm of its length
 * @param maximumStoryTokens longer ones are cut to this
 * @param instructionTokens the instruction that an organisation's prompts share
 * @param medianOutputTokens the median of the answer
 * @param maximumOutputTokens longer ones are cut to this
 */
public record PromptLengths(
    int medianStoryTokens,
    double spread,
    int maximumStoryTokens,
    int instructionTokens,
    int medianOutputTokens,
    int maximumOutputTokens) {

  private static final int MINIMUM_STORY_TOKENS = 16;
  private static final int MINIMUM_OUTPUT_TOKENS = 8;
  private static final double OUTPUT_SPREAD = 0.5;

  /**
   * Assumed, since the users have not stated theirs: some pages each, with a long tail, and answers
   * of about 113 tokens. With these a full prefill pool fills the decode pool: 4 prefill engines
   * read 40 prompts of 1,000 tokens a second, and 6 decode engines with 20 slots generate 42 such
   * answers a second, so that decode engines are near full at the peak, as the users say.
   */
  public static PromptLengths assumed() {
    return new PromptLengths(600, 0.9, 8_000, 96, 100, 400);
  }

  int drawStory(RandomGenerator random) {
    return draw(random, medianStoryTokens, spread, MINIMUM_STORY_TOKENS, maximumStoryTokens);
  }

  int drawOutput(RandomGenerator random) {
    return draw(
        random, medianOutputTokens, OUTPUT_SPREAD, MINIMUM_OUTPUT_TOKENS, maximumOutputTokens);
  }

  private static int draw(
      RandomGenerator random, int median, double deviation, int minimum, int maximum) {
    double length = median * Math.exp(deviation * random.nextGaussian());
    return (int) Math.max(minimum, Math.min(maximum, Math.round(length)));
  }
}
