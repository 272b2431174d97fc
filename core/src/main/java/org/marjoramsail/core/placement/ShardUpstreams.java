package org.marjoramsail.core.placement;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.marjoramsail.core.configuration.UpstreamDefinition;
import org.marjoramsail.core.cost.SpeedComparison;
import org.marjoramsail.core.feedback.RelayedFeedback;
import org.marjoramsail.core.model.DaemonId;
import org.marjoramsail.core.model.UpstreamName;
import org.marjoramsail.core.model.UpstreamRole;

/** The upstreams of one shard, with what their owner tracks across them. */
final class ShardUpstreams {

  /** At most one in this many upstreams of a role is ejected at a time. */
  private static final int EJECTED_DIVISOR = 3;

  /** An upstream is serving if its last response succeeded within this time, in milliseconds. */
  private static final long SERVING_MILLIS = 2_000;

  private static final long COMPARISON_VALID_MILLIS = 100;

  /** Excess of the share of failed attempts from which an upstream counts as failing more. */
  private static final double SIGNIFICANT_FAILURES = 0.05;

  /**
   * Comparison of the upstreams of one role.
   *
   * @param failureShare mean share of failed attempts
   * @param differs whether they differ in speed, slowdown or failures
   */
  private record RoleComparison(
      SpeedComparison speeds, double failureShare, boolean differs, long atMillis) {}

  private final PlacementSettings settings;
  private final OutputLengthDistribution outputLengths;
  private final PrefillRate prefillRate;
  private final PlainOccupancy occupancy = new PlainOccupancy();
  private final Map<UpstreamName, UpstreamState> byName = new TreeMap<>();
  private final Map<DaemonId, Long> receivedAt = new HashMap<>();
  private final Map<UpstreamRole, RoleComparison> comparisons = new EnumMap<>(UpstreamRole.class);
  private List<UpstreamState> all = List.of();
  private double fleetShare = 1;
  private long ignoredLoads;

  ShardUpstreams(PlacementSettings settings, OutputLengthDistribution outputLengths) {
    this.settings = settings;
    this.outputLengths = outputLengths;
    this.prefillRate = new PrefillRate(settings);
  }

  /** Returns the estimate of how long plain requests hold their slots. */
  PlainOccupancy occupancy() {
    return occupancy;
  }

  List<UpstreamState> all() {
    return all;
  }

  /**
   * Returns whether a configured engine of any role, once it is empty, has the memory for a
   * request; true if the memory of no engine is known.
   */
  boolean canHold(PlacementRequest request) {
    int largest = largestMemoryTokens();
    double needed =
        request.promptTokens() + outputLengths.remaining(request.outputTokens(), 0).mean();
    return largest == 0 || needed <= largest;
  }

  /** Returns the largest memory of a configured engine of any role; zero if none is known. */
  int largestMemoryTokens() {
    int largest = 0;
    for (UpstreamState upstream : all) {
      largest =
          upstream.isConfigured() ? Math.max(largest, upstream.memoryTokens().orElse(0)) : largest;
    }
    return largest;
  }

  Optional<UpstreamState> find(UpstreamName name) {
    return Optional.ofNullable(byName.get(name));
  }

  /** Compares the speeds of the usable upstreams of a role. */
  SpeedComparison speeds(UpstreamRole role, long nowMillis) {
    return comparison(role, nowMillis).speeds();
  }

  /** Returns whether the usable upstreams of a role differ in speed, slowdown or failures. */
  boolean differ(UpstreamRole role, long nowMillis) {
    return comparison(role, nowMillis).differs();
  }

  /** Returns the part of the recent share of failed attempts that exceeds the one of the role. */
  double excessFailures(UpstreamState upstream, long nowMillis) {
    double share = comparison(upstream.role(), nowMillis).failureShare();
    return upstream.failures().excess(share, nowMillis);
  }

  private RoleComparison comparison(UpstreamRole role, long nowMillis) {
    RoleComparison known = comparisons.get(role);
    if (known == null || nowMillis - known.atMillis() >= COMPARISON_VALID_MILLIS) {
      known = compare(role, nowMillis);
      comparisons.put(role, known);
    }
    return known;
  }

  private RoleComparison compare(UpstreamRole role, long nowMillis) {
    List<UpstreamState> usable =
        all.stream()
            .filter(upstream -> upstream.role() == role && upstream.isUsable(nowMillis))
            .toList();
    double initial = role == UpstreamRole.PLAIN ? 1 : settings.decodeMillisPerToken();
    SpeedComparison speeds =
        SpeedComparison.of(usable.stream().map(UpstreamState::speed).toList(), initial);
    double failureShare =
        usable.stream()
            .mapToDouble(upstream -> upstream.failures().share(nowMillis))
            .average()
            .orElse(0);
    boolean differs =
        speeds.differs()
            || usable.stream()
                .anyMatch(upstream -> isConspicuous(upstream, failureShare, nowMillis));
    return new RoleComparison(speeds, failureShare, differs, nowMillis);
  }

  private static boolean isConspicuous(
      UpstreamState upstream, double failureShare, long nowMillis) {
    boolean isFailing =
        upstream.role() == UpstreamRole.PLAIN
            && upstream.failures().excess(failureShare, nowMillis) > SIGNIFICANT_FAILURES;
    return isFailing || upstream.momentaryLoad().isSlowedDown(nowMillis);
  }

  /** Applies the load that an upstream stated to a host, and counts it if it is invalid. */
  void acceptLoad(RelayedFeedback feedback, long nowMillis) {
    UpstreamState upstream = byName.get(feedback.upstream());
    if (upstream == null) {
      return;
    }
    boolean wasSlowedDown = upstream.momentaryLoad().isSlowedDown(nowMillis);
    ignoredLoads += upstream.acceptLoad(feedback, nowMillis) ? 0 : 1;
    if (!wasSlowedDown && upstream.momentaryLoad().isSlowedDown(nowMillis)) {
      comparisons.remove(upstream.role());
    }
  }

  /** Returns counters with the number of stated loads that were invalid, if there were any. */
  Map<PlacementCounter, Long> withIgnoredLoads(Map<PlacementCounter, Long> counters) {
    Map<PlacementCounter, Long> all = new HashMap<>(counters);
    if (ignoredLoads > 0) {
      all.put(PlacementCounter.LOAD_IGNORED, ignoredLoads);
    }
    return Map.copyOf(all);
  }

  /** Returns the learned ratio of the time of work on an upstream to the mean. */
  double timeFactor(UpstreamState upstream, long nowMillis) {
    return speeds(upstream.role(), nowMillis).timeFactor(upstream.speed());
  }

  /**
   * Applies newer definitions; an upstream that is no longer defined stays until no request runs on
   * it.
   *
   * @return the upstreams that have restarted since the previous definitions
   */
  List<UpstreamName> define(List<UpstreamDefinition> definitions, long nowMillis) {
    List<UpstreamName> restarted = new ArrayList<>();
    Set<UpstreamName> names = new HashSet<>();
    for (UpstreamDefinition definition : definitions) {
      names.add(definition.name());
      UpstreamState state =
          byName.computeIfAbsent(
              definition.name(),
              name ->
                  new UpstreamState(definition, settings, outputLengths, prefillRate, occupancy));
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

  /** Sets the share of the daemons that are connected to the owner of these upstreams. */
  void fleetShare(double share) {
    fleetShare = share;
    all.forEach(upstream -> upstream.limit().fleetShare(share));
  }

  /** Records that a message of an entry daemon was received. */
  void messageReceived(DaemonId entry, long nowMillis) {
    receivedAt.put(entry, nowMillis);
  }

  /** Records that an entry daemon failed. */
  void daemonFailed(DaemonId entry) {
    receivedAt
        .keySet()
        .removeIf(daemon -> SlotReservations.isSameOrEarlierIncarnation(daemon, entry));
  }

  /**
   * Returns whether a first output of the upstream is overdue while another upstream of its role
   * responds.
   */
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

  /** Removes upstreams that are no longer configured and hold no slots of this owner. */
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
   * <p>At most a third of the upstreams of a role is excluded, since failures of all together have
   * another cause and ejections would overload the rest. Upstreams that are unusable for other
   * reasons count as excluded, else the last serving upstream could be ejected. An upstream that
   * always fails is ejected regardless while another one serves.
   */
  void failed(UpstreamState upstream, long nowMillis) {
    upstream.failures().ended(true, nowMillis);
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
