package org.marjoramsail.core.claim;

import java.util.List;

/**
 * Some claims of a segment: the unit that one conditional update writes.
 *
 * @param ordinal from zero; a segment's pages follow each other without a gap
 * @param sealed whether it takes no more claims; the page of the next ordinal does
 * @param segmentMillis the time of the segment when it was written
 * @param entries its claims; a later entry of a key, also in a later page, replaces an earlier one
 */
public record ClaimPage(
    long ordinal, boolean sealed, long segmentMillis, List<ClaimEntry> entries) {

  /** Copies the list, so that the value cannot change. */
  public ClaimPage {
    entries = List.copyOf(entries);
  }

  boolean isExpired(long now) {
    return entries.stream().allMatch(entry -> entry.isExpired(now));
  }
}
