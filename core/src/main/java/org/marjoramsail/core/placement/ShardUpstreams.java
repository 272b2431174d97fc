package org.marjoramsail.core.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.marjoramsail.core.configuration.UpstreamDefinition;
import org.marjoramsail.core.model.DaemonId;
import org.marjoramsail.core.model.UpstreamName;
import org.marjoramsail.core.model.UpstreamRole;

/** The upstreams of one shard. */
final class ShardUpstreams {

  /** At most one in that many upstreams of a role is ejected at a time. */
  private static final int EJECTED_DIVISOR = 3;

  /** An upstream serves if it has answered well within that long, and not failed since. */
  private static final long SERVING_MILLIS = 2_000;

  private final PlacementSettings settings;
  private final OutputLengthDistribution outputLengths;
  private final PrefillRate prefillRate;
  private final PlainOccupancy occupancy = new PlainOccupancy();
  private final Map<UpstreamName, UpstreamState> byName = new TreeMap<>();
  private final Map<DaemonId, Long> receivedAt = new HashMap<>();
  private List<UpstreamState> all = List.of();
  private double fleetShare = 1;

  ShardUpstreams(PlacementSettings settings, OutputLengthDistribution outputLengths) {
    this.settings = settings;
    this.outputLengths = outputLengths;
    this.prefillRate = new PrefillRate(settings);
  }

  /** How long plain requests hold their slots. */
  PlainOccupancy occupancy() {
    return occupancy;
  }

  List<UpstreamState> all() {
    return all;
  }

  Optional<UpstreamState> find(UpstreamName name) {
    return Optional.ofNullable(byName.get(name));
  }

  /**
   * Takes newer definitions; what is no longer defined stays until nothing runs on it.
   *
   * @return the upstreams that have started again since the definitions before
   */
  List<UpstreamName> define(List<UpstreamDefinition> definitions, long nowMillis) {
    List<UpstreamName> restarted = new ArrayList<>();
    Set<UpstreamName> names = new HashSet<>();
    for (UpstreamDefinition definition : definitions) {
      names.add(definition.name());
      UpstreamState state =
          byName.computeIfAbsent(
              definition.name(),
              name -> new UpstreamState(definition, settings, outputLengths, prefillRate, occupancy));
      state.limit().fleetShare(fleetShare);
      if (state.define(definition, nowMillis)) {
        restarted.add(definition.name());
      }
    }
    byName.values().stream()
        .filter(upstream -> !names.contains(upstream.name()))
        .forEach(UpstreamState::undefine);
    removeUnused();
    return restarted;
  }

  /** Sets which part of the daemons the owner of these upstreams sees. */
  void fleetShare(double share) {
    fleetShare = share;
    all.forEach(upstream -> upstream.limit().fleetShare(share));
  }

  /** Records that an entry daemon was heard of. */
  void messageReceived(DaemonId entry, long nowMillis) {
    receivedAt.put(entry, nowMillis);
  }

  /** Records that an entry daemon is gone. */
  void daemonFailed(DaemonId entry) {
    receivedAt.keySet().removeIf(daemon -> SlotLedger.isRunOf(daemon, entry));
  }

  /** Whether an upstream owes a first sign while another of its role does not. */
  boolean isUnresponsive(UpstreamState upstream, long nowMillis) {
    return isProgressOverdue(upstream)
        && all.stream()
            .anyMatch(
                other ->
                    other.role() == upstream.role()
                        && other.isUsable(nowMillis)
                        && !isProgressOverdue(other));
  }

  private boolean isProgressOverdue(UpstreamState upstream) {
    return upstream
        .progressWatchdog()
        .isOverdue(entry -> receivedAt.getOrDefault(entry, Long.MIN_VALUE));
  }

  /** Forgets upstreams that are no longer configured and hold nothing of ours. */
  void removeUnused() {
    byName.values().removeIf(upstream -> !upstream.isConfigured() && upstream.reserved() == 0);
    all = new ArrayList<>(byName.values());
  }

  boolean hasConfigured(UpstreamRole role) {
    return all.stream().anyMatch(upstream -> upstream.isConfigured() && upstream.role() == role);
  }

  /**
   * Counts a failure, and ejects an upstream that fails too often.
   *
   * <p>Where all fail together the cause is elsewhere, and ejecting them would leave the rest to
   * drown: at most a third of a role is out. What is away for other reasons counts as out, else the
   * last upstream that serves is ejected beside others that are gone, and nothing is served at all.
   * One that fails every time is ejected all the same while another serves.
   */
  void failed(UpstreamState upstream, long nowMillis) {
    if (!upstream.ejection().failed() || upstream.ejection().isEjected(nowMillis)) {
      return;
    }
    int pool = 0;
    int out = 0;
    boolean isAnotherServing = false;
    for (UpstreamState other : all) {
      if (other.role() == upstream.role() && other.isConfigured() && other != upstream) {
        pool++;
        out += other.isUsable(nowMillis) && !other.ejection().isAwaitingSuccess() ? 0 : 1;
        isAnotherServing |= other.isServingSince(nowMillis - SERVING_MILLIS, nowMillis);
      }
    }
    boolean isFewOut = (out + 1) * EJECTED_DIVISOR <= pool + 1;
    if (isFewOut || (isAnotherServing && upstream.ejection().isAlwaysFailing())) {
      upstream.ejection().eject(nowMillis);
    }
  }
}
