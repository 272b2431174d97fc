package org.marjoramsail.core.placement;

import java.util.Arrays;
import java.util.List;

/**
 * Which prefix blocks one upstream probably has in its cache, in a fixed amount of memory.
 *
 * <p>A set-associative table of hashes: each hash has one row of eight places, the most recently
 * used first; a full row forgets its last. It is a hint: events come late and with gaps, and what
 * the engine reports corrects it.
 */
final class PrefixIndex {

  private static final int ROWS = 512;
  private static final int WAYS = 8;

  private final long[] table = new long[ROWS * WAYS];
  private int size;

  int size() {
    return size;
  }

  void add(long hash) {
    int row = rowOf(hash);
    int way = find(row, hash);
    if (way < 0) {
      way = WAYS - 1;
      size += table[row + way] == 0 ? 1 : 0;
    }
    System.arraycopy(table, row, table, row + 1, way);
    table[row] = hash;
  }

  void remove(long hash) {
    int row = rowOf(hash);
    int way = find(row, hash);
    if (way < 0) {
      return;
    }
    System.arraycopy(table, row + way + 1, table, row + way, WAYS - 1 - way);
    table[row + WAYS - 1] = 0;
    size--;
  }

  void clear() {
    Arrays.fill(table, 0);
    size = 0;
  }

  /** Adds the marks of a prompt. */
  void addAll(List<Long> sampledHashes) {
    sampledHashes.forEach(this::add);
  }

  /** Removes the marks of a prompt that lie beyond so many leading blocks. */
  void removeBeyond(List<Long> sampledHashes, int leadingBlocks) {
    for (int position = 0; position < sampledHashes.size(); position++) {
      if (SampledPrefixHashes.blocks(position) > leadingBlocks) {
        remove(sampledHashes.get(position));
      }
    }
  }

  /**
   * How many leading blocks of a prompt are here for certain; the hashes are chained, so halving
   * finds the last mark.
   */
  int match(List<Long> sampledHashes) {
    if (size == 0 || sampledHashes.isEmpty() || !contains(sampledHashes.get(0))) {
      return 0;
    }
    int matched = 1;
    int unmatched = sampledHashes.size() + 1;
    while (unmatched - matched > 1) {
      int middle = (matched + unmatched) >>> 1;
      if (contains(sampledHashes.get(middle - 1))) {
        matched = middle;
      } else {
        unmatched = middle;
      }
    }
    return SampledPrefixHashes.blocks(matched - 1);
  }

  private boolean contains(long hash) {
    return find(rowOf(hash), hash) >= 0;
  }

  private int find(int row, long hash) {
    for (int way = 0; way < WAYS; way++) {
      if (table[row + way] == hash) {
        return hash == 0 ? -1 : way;
      }
    }
    return -1;
  }

  private static int rowOf(long hash) {
    return (int) (hash & (ROWS - 1)) * WAYS;
  }
}
