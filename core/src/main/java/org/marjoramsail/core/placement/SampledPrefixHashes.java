package org.marjoramsail.core.placement;

import java.util.ArrayList;
import java.util.List;

/**
 * Selects the block hashes of a prompt that a placement message contains: blocks 1, 2, 3, 4, 6, 8,
 * 12, 16 and so on.
 *
 * <p>Each hash covers the whole prefix up to its block, so a few hashes show how much of a prompt
 * is cached, with up to a third of the cached prefix not recognised. The size of a message grows
 * with the logarithm of the prompt length.
 */
public final class SampledPrefixHashes {

  /** Covers prompts of 32,768 tokens; tokens beyond that count as uncached. */
  private static final int MAXIMUM_HASHES = 22;

  private SampledPrefixHashes() {}

  /**
   * Returns how many leading blocks the sampled hash at the given position covers; positions start
   * at zero.
   */
  public static int blocks(int position) {
    if (position == 0) {
      return 1;
    }
    boolean isPowerOfTwo = position % 2 == 1;
    return isPowerOfTwo ? 1 << ((position + 1) / 2) : 3 << (position / 2 - 1);
  }

  /** Returns the sampled hashes of a prompt, the shortest prefix first. */
  public static List<Long> of(String prompt) {
    List<Long> hashes = PrefixHasher.hashes(prompt, blocks(MAXIMUM_HASHES - 1));
    List<Long> sampledHashes = new ArrayList<>();
    for (int position = 0;
        position < MAXIMUM_HASHES && blocks(position) <= hashes.size();
        position++) {
      sampledHashes.add(hashes.get(blocks(position) - 1));
    }
    return sampledHashes;
  }
}
