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
  private static final int PLACES = 8;

  private final long[] table = new long[ROWS * PLACES];
  private int size;

  int size() {
    return size;
  }

  void add(long hash) {
    int row = rowOf(hash);
    int place = find(row, hash);
    if (place < 0) {
      place = PLACES - 1;
      size += table[row + place] == 0 ? 1 : 0;
    }
    System.arraycopy(table, row, table, row + 1, place);
    table[row] = hash;
  }

  void remove(long hash) {
    int row = rowOf(hash);
    int place = find(row, hash);
    if (place < 0) {
      return;
    }
    System.arraycopy(table, row + place + 1, table, row + place, PLACES - 1 - place);
    table[row + PLACES - 1] = 0;
    size--;
  }

  void clear() {
    Arrays.fill(table, 0);
    size = 0;
  }

  /** Adds the marks of a prompt. */
  void addAll(List<Long> marks) {
    marks.forEach(this::add);
  }

  /** Removes the marks of a prompt that lie beyond so many leading blocks. */
  void removeBeyond(List<Long> marks, int leadingBlocks) {
    for (int place = 0; place < marks.size(); place++) {
      if (SampledPrefixHashes.blocks(place) > leadingBlocks) {
        remove(marks.get(place));
      }
    }
  }

  /**
   * How many leading blocks of a prompt are here for certain; the hashes are chained, so halving
   * finds the last mark.
   */
  int match(List<Long> marks) {
    if (size == 0 || marks.isEmpty() || !contains(marks.get(0))) {
      return 0;
    }
    int known = 1;
    int beyond = marks.size() + 1;
    while (beyond - known > 1) {
      int middle = (known + beyond) >>> 1;
      if (contains(marks.get(middle - 1))) {
        known = middle;
      } else {
        beyond = middle;
      }
    }
    return SampledPrefixHashes.blocks(known - 1);
  }

  private boolean contains(long hash) {
    return find(rowOf(hash), hash) >= 0;
  }

  private int find(int row, long hash) {
    for (int place = 0; place < PLACES; place++) {
      if (table[row + place] == hash) {
        return hash == 0 ? -1 : place;
      }
    }
    return -1;
  }

  private static int rowOf(long hash) {
    return (int) (hash & (ROWS - 1)) * PLACES;
  }
}
