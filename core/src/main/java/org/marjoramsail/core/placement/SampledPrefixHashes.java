package org.marjoramsail.core.placement;

import java.util.ArrayList;
import java.util.List;

/**
 * Which blocks of a prompt a placement message names: blocks 1, 2, 3, 4, 6, 8, 12, 16 and so on.
 *
 * <p>Each hash covers the whole prefix up to its block, so a few of them tell how much of a prompt
 * is cached, at the cost of taking up to a third of it for not cached. A message so grows with the
 * logarithm of its prompt.
 */
public final class SampledPrefixHashes {

  /** Enough for prompts of 32,768 tokens; what is longer counts as not cached. */
  private static final int MAXIMUM_HASHES = 22;

  private SampledPrefixHashes() {}

  /** How many leading blocks the mark at a place covers; places count from zero. */
  public static int blocks(int position) {
    if (position == 0) {
      return 1;
    }
    boolean isPowerOfTwo = position % 2 == 1;
    return isPowerOfTwo ? 1 << ((position + 1) / 2) : 3 << (position / 2 - 1);
  }

  /** The hashes of a prompt's marks, the shortest prefix first. */
  public static List<Long> of(String prompt) {
    List<Long> hashes = PrefixHasher.hashes(prompt, blocks(MAXIMUM_HASHES - 1));
    List<Long> sampledHashes = new ArrayList<>();
    for (int position = 0; position < MAXIMUM_HASHES && blocks(position) <= hashes.size(); position++) {
      sampledHashes.add(hashes.get(blocks(position) - 1));
    }
    return sampledHashes;
  }
}
