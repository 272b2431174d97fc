package org.marjoramsail.core.discovery;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.marjoramsail.core.configuration.UpstreamDefinition;
import org.marjoramsail.core.model.SoftwareVersion;

/**
 * When the list of upstreams last had each software version of a service, for as long as each of
 * its changes was received.
 */
final class VersionHistory {

  private static final long NEVER = Long.MAX_VALUE;

  private final Map<String, Map<SoftwareVersion, Long>> listedAtMillis = new HashMap<>();
  private long completeSinceMillis = NEVER;

  /** Starts anew: changes before this time may have been missed. */
  void restart(long nowMillis) {
    listedAtMillis.clear();
    completeSinceMillis = nowMillis;
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
    if (completeSinceMillis > sinceMillis) {
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
