package org.marjoramsail.daemon.forward;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Random;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.marjoramsail.core.configuration.UpstreamDefinition;
import org.marjoramsail.core.discovery.UpstreamReachability;
import org.marjoramsail.core.model.UpstreamName;
import org.marjoramsail.core.time.Clock;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Monitors which upstreams this daemon reaches: by the connections that requests open, and by
 * probes of upstreams that are not reached or leave calls without a response. Runs on one event
 * loop.
 */
final class PathMonitor {

  private static final Logger LOG = LoggerFactory.getLogger(PathMonitor.class);

  /** Number of upstreams that are probed together. */
  private static final int PROBES = 3;

  /** Time between probes, in milliseconds. */
  private static final long PROBE_INTERVAL_MILLIS = 500;

  private final Clock clock;
  private final RandomGenerator random;
  private final Consumer<UpstreamDefinition> probe;
  private final UpstreamReachability reachability = new UpstreamReachability();
  private Map<UpstreamName, UpstreamDefinition> upstreams = Map.of();
  private long probedAtMillis = Long.MIN_VALUE / 2;
  private boolean cutOff;

  /**
   * Creates a monitor of a daemon that knows no upstream.
   *
   * @param random selects the upstreams to probe
   * @param probe opens a connection to an upstream, whose result is recorded here
   */
  PathMonitor(Clock clock, RandomGenerator random, Consumer<UpstreamDefinition> probe) {
    this.clock = clock;
    this.random = random;
    this.probe = probe;
  }

  /** Returns whether connections to an upstream succeed, as far as is known. */
  boolean isReached(UpstreamName upstream) {
    return reachability.isReached(upstream);
  }

  /** Returns whether all upstreams are reached. */
  boolean isReachingAll() {
    return reachability.unreached().isEmpty();
  }

  /** Returns whether this daemon is cut off from all upstreams. */
  boolean isCutOff() {
    return reachability.isCutOff(clock.millis());
  }

  /** Replaces the upstreams in use. */
  void upstreamsChanged(List<UpstreamDefinition> newer) {
    Map<UpstreamName, UpstreamDefinition> byName = new HashMap<>();
    newer.forEach(upstream -> byName.put(upstream.name(), upstream));
    upstreams = byName;
    reachability.retainOnly(byName.keySet());
  }

  /** Records that an upstream sent something on a direct connection. */
  void received() {
    reachability.received(clock.millis());
  }

  /** Records that a connection was opened. */
  void connected(UpstreamDefinition upstream, long startedAtMillis) {
    if (reachability.connected(upstream.name(), startedAtMillis, clock.millis())) {
      LOG.atInfo().addKeyValue("upstream", upstream.name()).log("upstream is reached again");
    }
    logIfCutOffChanged();
  }

  /** Records that a connection could not be opened. */
  void failed(UpstreamDefinition upstream, long startedAtMillis, String cause) {
    if (reachability.failed(upstream.name(), startedAtMillis)) {
      LOG.atInfo()
          .addKeyValue("upstream", upstream.name())
          .addKeyValue("cause", cause)
          .log("upstream is not reached");
    }
    logIfCutOffChanged();
  }

  /**
   * Probes upstreams that are not reached or are silent, if that is due; called several times a
   * second.
   *
   * @param silent upstreams with calls in flight that have sent nothing for some time
   */
  void tick(Collection<UpstreamName> silent) {
    logIfCutOffChanged();
    long nowMillis = clock.millis();
    if (nowMillis - probedAtMillis < PROBE_INTERVAL_MILLIS) {
      return;
    }
    probedAtMillis = nowMillis;
    List<UpstreamName> candidates = new ArrayList<>(silent);
    candidates.addAll(reachability.unreached());
    Collections.shuffle(candidates, new Random(random.nextLong()));
    candidates.stream()
        .distinct()
        .map(upstreams::get)
        .filter(Objects::nonNull)
        .limit(PROBES)
        .forEach(probe);
  }

  private void logIfCutOffChanged() {
    if (cutOff == isCutOff()) {
      return;
    }
    cutOff = !cutOff;
    LOG.atWarn()
        .addKeyValue("upstreams", upstreams.size())
        .addKeyValue("unreached", reachability.unreached().size())
        .log(cutOff ? "no upstream is reached" : "upstreams are reached again");
  }
}
