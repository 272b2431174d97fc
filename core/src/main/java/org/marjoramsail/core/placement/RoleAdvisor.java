package org.marjoramsail.core.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.marjoramsail.core.model.UpstreamRole;

/** Says which engine of a shard should change its role, by what was learned of its requests. */
final class RoleAdvisor {

  /**
   * After so many grants the sizes of requests are known well enough.
   *
   * <p>A pool that waited for its first answers before it moved an engine went into the first burst
   * with one engine of six on its way, and moved it while streams were refused.
   */
  private static final int LEAST_GRANTS = 6;

  private final ShardUpstreams upstreams;
  private final PlacementEstimates estimates;
  private final PlacementSettings settings;

  RoleAdvisor(ShardUpstreams upstreams, PlacementEstimates estimates, PlacementSettings settings) {
    this.upstreams = upstreams;
    this.estimates = estimates;
    this.settings = settings;
  }

  /** The engine that would serve more in the other role, if there is one. */
  Optional<RoleChange> wanted(long nowMillis) {
    if (estimates.grants() < LEAST_GRANTS) {
      return Optional.empty();
    }
    List<UpstreamState> readers = usable(UpstreamRole.PREFILL, nowMillis);
    List<UpstreamState> writers = usable(UpstreamRole.DECODE, nowMillis);
    if (readers.isEmpty() || writers.isEmpty()) {
      return Optional.empty();
    }
    int engines = readers.size() + writers.size();
    int best = RoleBalance.bestReaders(engines, readers.size(), rates(readers, writers));
    if (best == readers.size()) {
      return Optional.empty();
    }
    return best < readers.size()
        ? leastBusy(readers, UpstreamRole.DECODE)
        : leastBusy(writers, UpstreamRole.PREFILL);
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

  private RoleBalance.Rates rates(List<UpstreamState> readers, List<UpstreamState> writers) {
    double readMillis = 0;
    for (UpstreamState reader : readers) {
      readMillis += reader.prefillMillis((int) estimates.promptTokens());
    }
    double held = 0;
    for (UpstreamState writer : writers) {
      held += writer.slotsFor(estimates.heldTokens());
    }
    double reads = readers.size() / readMillis;
    double readsBeside =
        settings.localPrefillWhenBusy() ? reads / settings.localPrefillSlowdown() : 0;
    double ends = held / writers.size() / estimates.generationMillis();
    return new RoleBalance.Rates(reads, readsBeside, ends);
  }

  private static Optional<RoleChange> leastBusy(List<UpstreamState> among, UpstreamRole role) {
    return among.stream()
        .min(Comparator.comparingInt(UpstreamState::reserved))
        .map(chosen -> new RoleChange(chosen.name(), role));
  }
}
