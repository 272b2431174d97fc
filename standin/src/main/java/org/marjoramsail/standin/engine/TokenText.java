package org.marjoramsail.standin.engine;

import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;

/**
 * What the stand-in engines generate: a function of prompt and index alone, so that any answer can
 * be checked token by token whichever engines made it.
 */
public final class TokenText {

  /** Tokens of the shortest completion that is not cut by its maximum. */
  private static final int SHORTEST = 8;

  /** Number of different lengths of completions. */
  private static final int LENGTHS = 248;

  private static final int RADIX = 36;
  private static final long WORDS = 36L * 36 * 36 * 36;
  private static final long GOLDEN_GAMMA = 0x9E3779B97F4A7C15L;
  private static final Hasher64 HASHER = Hashing.xxh3_64();

  private TokenText() {}

  /** The text of the token at {@code index}; it ends with a space. */
  public static String of(String prompt, int index) {
    return of(seed(prompt), index);
  }

  /** The number of tokens that a completion of {@code prompt} has. */
  public static int count(String prompt, int maximumTokens) {
    return Math.min(maximumTokens, SHORTEST + Math.floorMod(seed(prompt), LENGTHS));
  }

  /** The whole completion. */
  public static String completion(String prompt, int maximumTokens) {
    long seed = seed(prompt);
    int count = count(prompt, maximumTokens);
    StringBuilder text = new StringBuilder();
    for (int index = 0; index < count; index++) {
      text.append(of(seed, index));
    }
    return text.toString();
  }

  /** The part of {@link #of(String, int)} that depends on the prompt alone. */
  public static long seed(String prompt) {
    return HASHER.hashCharsToLong(prompt);
  }

  static String of(long seed, int index) {
    long mixed = (seed ^ (index * GOLDEN_GAMMA)) * GOLDEN_GAMMA;
    long word = Math.floorMod(mixed ^ (mixed >>> 29), WORDS);
    return Long.toString(word, RADIX) + " ";
  }
}
