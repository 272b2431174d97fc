package org.marjoramsail.standin.load;

import java.util.SplittableRandom;

/**
 * A prompt that is written only when it is sent, so that long workloads take little memory.
 *
 * @param instructionSeed decides the instruction, which an organisation's prompts share
 * @param instructionTokens the length of the instruction
 * @param storySeed decides the text to read, which prompts about one story share
 * @param storyTokens the length of that text
 * @param question the last tokens, which no other prompt has
 */
public record Prompt(
    long instructionSeed, int instructionTokens, long storySeed, int storyTokens, String question) {

  private static final int WORDS = 46_656;
  private static final int RADIX = 36;

  /** How many tokens it has, the question counted as one. */
  public int tokens() {
    return instructionTokens + storyTokens + 1;
  }

  /** The tokens, joined by single spaces. */
  public String text() {
    StringBuilder text = new StringBuilder(tokens() * 4);
    append(text, instructionSeed, instructionTokens);
    append(text, storySeed, storyTokens);
    return text.append(question).toString();
  }

  private static void append(StringBuilder text, long seed, int tokens) {
    SplittableRandom random = new SplittableRandom(seed);
    for (int token = 0; token < tokens; token++) {
      text.append(Integer.toString(random.nextInt(WORDS), RADIX)).append(' ');
    }
  }
}
