package org.marjoramsail.core.placement;

import java.util.Arrays;
import java.util.List;

/**
 * Index of the prefix blocks that one upstream probably has in its cache, with a fixed size.
 *
 * <p>It is a set-associative table of hashes: each hash maps to one row of eight entries in order
 * of use, and a full row evicts the least recently used. The index is only a hint, since cache
 * events are delayed and incomplete; what the engine reports corrects it.
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

  /** Adds the sampled hashes of a prompt. */
  void addAll(List<Long> sampledHashes) {
    sampledHashes.forEach(this::add);
  }

  /** Removes the sampled hashes of a prompt beyond the given number of leading blocks. */
  void removeBeyond(List<Long> sampledHashes, int leadingBlocks) {
    for (int position = 0; position < sampledHashes.size(); position++) {
      if (SampledPrefixHashes.blocks(position) > leadingBlocks) {
        remove(sampledHashes.get(position));
      }
    }
  }

  /**
   * Returns how many leading blocks of a prompt are in the index; the hashes are chained, so a
   * binary search finds the last match.
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
