package org.marjoramsail.core.placement;

import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Hashes a prompt block by block, so that daemons and engines agree on which prefixes are cached.
 *
 * <p>A token is a run of characters without white space. Each hash covers its own block and,
 * through the previous hash, the whole prefix. An incomplete last block has no hash.
 */
public final class PrefixHasher {

  /** Number of tokens in one block. */
  public static final int BLOCK_TOKENS = 16;

  private static final Hasher64 HASHER = Hashing.xxh3_64();

  private PrefixHasher() {}

  /** Counts the tokens of a prompt. */
  public static int tokenCount(String prompt) {
    int count = 0;
    boolean insideToken = false;
    for (int i = 0; i < prompt.length(); i++) {
      boolean blank = Character.isWhitespace(prompt.charAt(i));
      if (!blank && !insideToken) {
        count++;
      }
      insideToken = !blank;
    }
    return count;
  }

  /** Hashes all full blocks of a prompt, first block first. */
  public static List<Long> hashes(String prompt) {
    return hashes(prompt, Integer.MAX_VALUE);
  }

  /**
   * Hashes the first full blocks of a prompt.
   *
   * @param prompt the text
   * @param maximumBlocks the maximum number of blocks; zero or more
   * @return one hash for each block, first block first
   */
  public static List<Long> hashes(String prompt, int maximumBlocks) {
    List<Long> hashes = new ArrayList<>();
    StringBuilder block = new StringBuilder();
    int tokensInBlock = 0;
    long previous = 0;
    int position = 0;
    while (position < prompt.length() && hashes.size() < maximumBlocks) {
      int start = skip(prompt, position, true);
      position = skip(prompt, start, false);
      if (start == position) {
        break;
      }
      if (tokensInBlock > 0) {
        block.append(' ');
      }
      block.append(prompt, start, position);
      tokensInBlock++;
      if (tokensInBlock == BLOCK_TOKENS) {
        previous = chain(previous, block.toString());
        hashes.add(previous);
        block.setLength(0);
        tokensInBlock = 0;
      }
    }
    return hashes;
  }

  private static int skip(String text, int from, boolean whitespace) {
    int position = from;
    while (position < text.length()
        && Character.isWhitespace(text.charAt(position)) == whitespace) {
      position++;
    }
    return position;
  }

  private static long chain(long previous, String block) {
    byte[] text = block.getBytes(StandardCharsets.UTF_8);
    byte[] input =
        ByteBuffer.allocate(Long.BYTES + text.length).putLong(previous).put(text).array();
    return HASHER.hashBytesToLong(input);
  }
}
