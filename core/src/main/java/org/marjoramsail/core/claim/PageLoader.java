package org.marjoramsail.core.claim;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.marjoramsail.core.claim.ClaimAction.ReadPage;

/**
 * Reads the pages of a segment, a limited number at a time, up to the first slot that was never
 * used.
 */
final class PageLoader {

  private static final int READS_AT_ONCE = 8;

  private final ClaimSettings settings;
  private final Map<Integer, VersionedPage> pages = new HashMap<>();
  private final Set<Long> outstanding = new HashSet<>();
  private int nextSlot;
  private boolean endReached;

  PageLoader(ClaimSettings settings) {
    this.settings = settings;
  }

  /** Adds the reads that may start now, with consecutive identifiers from {@code firstRead}. */
  void startReads(long firstRead, List<ClaimAction> actions) {
    long read = firstRead;
    while (!endReached && nextSlot < settings.slots() && outstanding.size() < READS_AT_ONCE) {
      actions.add(new ReadPage(read, nextSlot));
      outstanding.add(read);
      nextSlot++;
      read++;
    }
  }

  boolean isExpecting(long read) {
    return outstanding.contains(read);
  }

  void accept(long read, int slot, Optional<VersionedPage> page) {
    outstanding.remove(read);
    page.ifPresentOrElse(found -> pages.put(slot, found), () -> endReached = true);
  }

  boolean isDone() {
    return outstanding.isEmpty() && (endReached || nextSlot == settings.slots());
  }

  Optional<ClaimLog> log() {
    return ClaimLog.of(settings, pages);
  }
}
