package org.marjoramsail.core.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import org.marjoramsail.core.model.SoftwareVersion;
import org.marjoramsail.core.model.UpstreamRole;

/** Recommends changes of the roles of a shard's engines from the estimates of its requests. */
final class RoleAdvisor {

  /**
   * The number of grants after which the estimates of request sizes are used. It is small, so that
   * a badly divided pool is corrected before its first burst of load; a change of role during the
   * burst would refuse streams.
   */
  private static final int MINIMUM_GRANTS = 6;

  private final ShardUpstreams upstreams;
  private final PlacementEstimates estimates;
  private final PlacementSettings settings;

  RoleAdvisor(ShardUpstreams upstreams, PlacementEstimates estimates, PlacementSettings settings) {
    this.upstreams = upstreams;
    this.estimates = estimates;
    this.settings = settings;
  }

  /**
   * Returns a change of an engine that would serve more requests in the other role, if there is
   * one.
   */
  Optional<RoleChange> recommend(long nowMillis) {
    if (estimates.grants() < MINIMUM_GRANTS) {
      return Optional.empty();
    }
    List<UpstreamState> prefillUpstreams = usable(UpstreamRole.PREFILL, nowMillis);
    List<UpstreamState> decodeUpstreams = usable(UpstreamRole.DECODE, nowMillis);
    if (prefillUpstreams.isEmpty() || decodeUpstreams.isEmpty()) {
      return Optional.empty();
    }
    int engines = prefillUpstreams.size() + decodeUpstreams.size();
    int bestPrefillCount =
        RoleBalance.bestPrefillCount(
            engines, prefillUpstreams.size(), rates(prefillUpstreams, decodeUpstreams));
    if (bestPrefillCount == prefillUpstreams.size()) {
      return Optional.empty();
    }
    return bestPrefillCount < prefillUpstreams.size()
        ? leastBusy(prefillUpstreams, UpstreamRole.DECODE)
        : leastBusy(withoutLastOfVersion(decodeUpstreams), UpstreamRole.PREFILL);
  }

  private List<UpstreamState> usable(UpstreamRole role, long nowMillis) {
    List<UpstreamState> found = new ArrayList<>();
    for (UpstreamState upstream : upstreams.all()) {
      if (upstream.role() == role && upstream.isUsable(nowMillis)) {
        found.add(upstream);
      }
    }
    return found;
  }

  private RoleBalance.Rates rates(
      List<UpstreamState> prefillUpstreams, List<UpstreamState> decodeUpstreams) {
    double prefillMillis = 0;
    for (UpstreamState upstream : prefillUpstreams) {
      prefillMillis += upstream.prefillMillis((int) estimates.promptTokens());
    }
    double concurrentRequests = 0;
    for (UpstreamState upstream : decodeUpstreams) {
      concurrentRequests += upstream.slotsFor(estimates.heldTokens());
    }
    double prefillRate = prefillUpstreams.size() / prefillMillis;
    double localPrefillRate =
        settings.localPrefillWhenBusy() ? prefillRate / settings.localPrefillSlowdown() : 0;
    double decodeRate = concurrentRequests / decodeUpstreams.size() / estimates.generationMillis();
    return new RoleBalance.Rates(prefillRate, localPrefillRate, decodeRate);
  }

  /** Leaves out the last upstream of each software version, which alone can continue its output. */
  private static List<UpstreamState> withoutLastOfVersion(List<UpstreamState> decodeUpstreams) {
    Map<Optional<SoftwareVersion>, Long> countByVersion =
        decodeUpstreams.stream()
            .collect(Collectors.groupingBy(UpstreamState::softwareVersion, Collectors.counting()));
    return decodeUpstreams.stream()
        .filter(upstream -> countByVersion.get(upstream.softwareVersion()) > 1)
        .toList();
  }

  private static Optional<RoleChange> leastBusy(List<UpstreamState> among, UpstreamRole role) {
    return among.stream()
        .min(Comparator.comparingInt(UpstreamState::reserved))
        .map(chosen -> new RoleChange(chosen.name(), role));
  }
}
