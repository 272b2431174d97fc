package org.marjoramsail.core.claim;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * The pages of a segment as last read or written, and the newest entry of each key.
 *
 * <p>Only the last page, the open page, accepts claims. The write that fills it also seals it, and
 * a daemon creates the next page only after it has read the sealed one. So a daemon whose
 * conditional update of the last page succeeds has all claims of the segment: a further page would
 * have required a change of the page that was just updated.
 */
final class ClaimLog {

  private final ClaimSettings settings;
  private final Map<Integer, String> versions = new HashMap<>();
  private final TreeMap<Long, ClaimPage> pages = new TreeMap<>();
  private final Map<String, ClaimEntry> newestEntries = new HashMap<>();
  private long openOrdinal;

  private ClaimLog(ClaimSettings settings) {
    this.settings = settings;
  }

  /**
   * Builds the log from the pages that were read. The result is empty if the pages changed during
   * the reads and must be read again.
   */
  static Optional<ClaimLog> of(ClaimSettings settings, Map<Integer, VersionedPage> read) {
    ClaimLog log = new ClaimLog(settings);
    read.forEach((slot, versioned) -> log.versions.put(slot, versioned.version()));
    read.values().forEach(versioned -> log.pages.put(versioned.page().ordinal(), versioned.page()));
    if (!log.isConsistent(read)) {
      return Optional.empty();
    }
    log.pages.values().forEach(log::indexEntries);
    log.updateOpenOrdinal();
    return Optional.of(log);
  }

  private boolean isConsistent(Map<Integer, VersionedPage> read) {
    if (pages.isEmpty()) {
      return true;
    }
    long first = pages.firstKey();
    long last = pages.lastKey();
    boolean slotsMatch =
        read.entrySet().stream()
            .allMatch(
                entry -> settings.slotOf(entry.getValue().page().ordinal()) == entry.getKey());
    boolean contiguous = pages.size() == read.size() && last - first + 1 == pages.size();
    boolean startPresent = first == 0 || pages.size() == settings.slots();
    boolean earlierSealed = pages.headMap(last).values().stream().allMatch(ClaimPage::sealed);
    return slotsMatch && contiguous && startPresent && earlierSealed;
  }

  private void updateOpenOrdinal() {
    if (!pages.isEmpty()) {
      openOrdinal = pages.lastEntry().getValue().sealed() ? pages.lastKey() + 1 : pages.lastKey();
    }
  }

  /** Returns the ordinal of the open page, which may not exist yet. */
  long openOrdinal() {
    return openOrdinal;
  }

  int openSlot() {
    return settings.slotOf(openOrdinal);
  }

  Optional<String> openVersion() {
    return Optional.ofNullable(versions.get(openSlot()));
  }

  Map<String, ClaimEntry> openEntries() {
    Map<String, ClaimEntry> entries = new LinkedHashMap<>();
    ClaimPage open = pages.get(openOrdinal);
    if (open != null) {
      open.entries().forEach(entry -> entries.put(entry.keyHash(), entry));
    }
    return entries;
  }

  long segmentMillis() {
    return pages.isEmpty() ? 0 : pages.lastEntry().getValue().segmentMillis();
  }

  /** Returns the newest entry of a key if it is not expired. */
  Optional<ClaimEntry> find(String keyHash, long segmentMillis) {
    return Optional.ofNullable(newestEntries.get(keyHash))
        .filter(entry -> !entry.isExpired(segmentMillis));
  }

  /** Returns whether the page to overwrite next still contains claims that are not expired. */
  boolean isFull(long segmentMillis) {
    ClaimPage overwritten = pages.get(openOrdinal - settings.slots());
    return overwritten != null && !overwritten.isExpired(segmentMillis);
  }

  /** Records a page that this daemon has written and removes expired pages. */
  void written(int slot, String version, ClaimPage page, long segmentMillis) {
    replace(slot, version, page);
    while (pages.size() > 1 && pages.firstEntry().getValue().isExpired(segmentMillis)) {
      removeEntries(pages.pollFirstEntry().getValue());
    }
  }

  /**
   * Records the open page as read again after another daemon may have changed it.
   *
   * @return whether the log is still consistent; if not, all pages must be read again
   */
  boolean reread(int slot, Optional<VersionedPage> read) {
    if (read.isEmpty()) {
      return !versions.containsKey(slot);
    }
    ClaimPage page = read.get().page();
    if (page.ordinal() == openOrdinal) {
      replace(slot, read.get().version(), page);
      return true;
    }
    return read.get().version().equals(versions.get(slot));
  }

  private void replace(int slot, String version, ClaimPage page) {
    ClaimPage overwritten = pages.remove(page.ordinal() - settings.slots());
    if (overwritten != null) {
      removeEntries(overwritten);
    }
    versions.put(slot, version);
    pages.put(page.ordinal(), page);
    indexEntries(page);
    updateOpenOrdinal();
  }

  private void indexEntries(ClaimPage page) {
    page.entries().forEach(entry -> newestEntries.put(entry.keyHash(), entry));
  }

  private void removeEntries(ClaimPage page) {
    page.entries().forEach(entry -> newestEntries.remove(entry.keyHash(), entry));
  }
}
