package org.marjoramsail.core.discovery;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.marjoramsail.core.configuration.UpstreamDefinition;
import org.marjoramsail.core.model.SoftwareVersion;

/**
 * When the list of upstreams last had each software version of a service, for as long as each of
 * its changes was received.
 *
 * <p>A gap in the changes ends that time, until all revisions in the gap are known to have changed
 * something else.
 */
final class VersionHistory {

  private static final long NEVER = Long.MAX_VALUE;

  /** Maximum number of versions of all services, listed now or before. */
  private static final int MAXIMUM_VERSIONS = 1_024;

  private final Map<String, Map<SoftwareVersion, Long>> listedAtMillis = new HashMap<>();
  private final RevisionGaps gaps = new RevisionGaps();
  private long completeSinceMillis = NEVER;

  /** Starts anew: changes before this time may have been missed. */
  void restart(long nowMillis) {
    listedAtMillis.clear();
    gaps.clear();
    completeSinceMillis = nowMillis;
  }

  /**
   * Records a gap that ends now, in which changes may have been missed. Call {@link #listed} for
   * each upstream of the current list afterwards.
   */
  void skipped(RevisionGap gap, long nowMillis) {
    int versions = listedAtMillis.values().stream().mapToInt(Map::size).sum();
    if (versions > MAXIMUM_VERSIONS || !gaps.add(gap, nowMillis)) {
      restart(nowMillis);
    }
    while (gaps.isFull()) {
      dropOldestGap();
    }
  }

  /** Removes revisions that changed no upstream from the gaps; a gap without any is closed. */
  void explain(Collection<StoreRevision> elsewhere) {
    gaps.explain(elsewhere);
  }

  /**
   * Returns the revision after which the oldest gap begins; empty if there is none, or if the
   * history begins after {@code sinceMillis} and stays incomplete in any case.
   */
  Optional<StoreRevision> oldestGap(long sinceMillis) {
    return completeSinceMillis > sinceMillis ? Optional.empty() : gaps.oldest();
  }

  /** Drops the gaps that ended by a time; the history begins at the last of these ends. */
  void dropGapsEndedBy(long millis) {
    while (gaps.oldestEndedAtMillis().filter(ended -> ended <= millis).isPresent()) {
      dropOldestGap();
    }
  }

  /** Begins after the older half of the gaps, which can no longer be closed. */
  void dropOlderGaps() {
    for (int left = (gaps.size() + 1) / 2; left > 0; left--) {
      dropOldestGap();
    }
  }

  private void dropOldestGap() {
    gaps.dropOldest()
        .ifPresent(
            endedAtMillis -> completeSinceMillis = Math.max(completeSinceMillis, endedAtMillis));
  }

  /** Records that an upstream was listed until now, or is from now on. */
  void listed(UpstreamDefinition upstream, long nowMillis) {
    upstream
        .softwareVersion()
        .ifPresent(
            version ->
                listedAtMillis
                    .computeIfAbsent(upstream.service(), unused -> new HashMap<>())
                    .put(version, nowMillis));
  }

  /**
   * Returns the only version of a service that was listed since a time.
   *
   * @param isListed whether the list has a version of the service now
   * @return empty if there were several or none, or if changes since that time may be missing
   */
  Optional<SoftwareVersion> onlyVersionSince(
      String service, long sinceMillis, Predicate<SoftwareVersion> isListed) {
    boolean hasGap = gaps.newestEndedAtMillis().filter(ended -> ended > sinceMillis).isPresent();
    if (completeSinceMillis > sinceMillis || hasGap) {
      return Optional.empty();
    }
    Map<SoftwareVersion, Long> versions = listedAtMillis.getOrDefault(service, Map.of());
    Optional<SoftwareVersion> only = Optional.empty();
    for (Map.Entry<SoftwareVersion, Long> entry : versions.entrySet()) {
      boolean isRecent = entry.getValue() >= sinceMillis || isListed.test(entry.getKey());
      if (isRecent && only.isPresent()) {
        return Optional.empty();
      }
      only = isRecent ? Optional.of(entry.getKey()) : only;
    }
    return only;
  }
}
