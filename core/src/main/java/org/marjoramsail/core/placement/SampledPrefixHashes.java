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
  private static final int MOST_MARKS = 22;

  private SampledPrefixHashes() {}

  /** How many leading blocks the mark at a place covers; places count from zero. */
  public static int blocks(int place) {
    if (place == 0) {
      return 1;
    }
    boolean isPowerOfTwo = place % 2 == 1;
    return isPowerOfTwo ? 1 << ((place + 1) / 2) : 3 << (place / 2 - 1);
  }

  /** The hashes of a prompt's marks, the shortest prefix first. */
  public static List<Long> of(String prompt) {
    List<Long> hashes = PrefixHasher.hashes(prompt, blocks(MOST_MARKS - 1));
    List<Long> marks = new ArrayList<>();
    for (int place = 0; place < MOST_MARKS && blocks(place) <= hashes.size(); place++) {
      marks.add(hashes.get(blocks(place) - 1));
    }
    return marks;
  }
}
