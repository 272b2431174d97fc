package org.marjoramsail.core.claim;

import java.util.List;

/**
 * A page of the claims of a segment; one conditional update writes one page.
 *
 * @param ordinal number of the page from zero; the pages of a segment are numbered without gaps
 * @param sealed whether the page accepts no more claims, so that new ones go to the next page
 * @param segmentMillis segment time at which the page was written
 * @param entries the claims; a later entry of a key, also in a later page, replaces an earlier one
 */
public record ClaimPage(
    long ordinal, boolean sealed, long segmentMillis, List<ClaimEntry> entries) {

  /** Copies the list, so that the record is immutable. */
  public ClaimPage {
    entries = List.copyOf(entries);
  }

  boolean isExpired(long now) {
    return entries.stream().allMatch(entry -> entry.isExpired(now));
  }
}
