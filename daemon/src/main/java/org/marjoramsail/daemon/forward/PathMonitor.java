package org.marjoramsail.daemon.forward;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.marjoramsail.core.configuration.UpstreamDefinition;
import org.marjoramsail.core.discovery.UpstreamReachability;
import org.marjoramsail.core.time.Clock;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Monitors whether this daemon reaches its upstreams: by the connections that requests open, and by
 * probes where one of them fails or calls get no response. Runs on one event loop.
 */
final class PathMonitor {

  private static final Logger LOG = LoggerFactory.getLogger(PathMonitor.class);

  /** Number of probes that are opened together. */
  private static final int PROBES = 3;

  /** Time between probes while this daemon is cut off, in milliseconds. */
  private static final long PROBE_INTERVAL_MILLIS = 500;

  private final Clock clock;
  private final RandomGenerator random;
  private final Consumer<UpstreamDefinition> probe;
  private final Runnable changed;
  private final UpstreamReachability reachability = new UpstreamReachability();
  private List<UpstreamDefinition> upstreams = List.of();
  private long probedAtMillis = Long.MIN_VALUE / 2;
  private long cutOffAtMillis;

  /**
   * Creates a monitor of a daemon that reaches its upstreams.
   *
   * @param random selects the upstreams to probe
   * @param probe opens a connection to an upstream, whose result is recorded here
   * @param changed called when this daemon is cut off or reaches upstreams again
   */
  PathMonitor(
      Clock clock, RandomGenerator random, Consumer<UpstreamDefinition> probe, Runnable changed) {
    this.clock = clock;
    this.random = random;
    this.probe = probe;
    this.changed = changed;
  }

  /** Returns whether this daemon is cut off from all upstreams. */
  boolean isCutOff() {
    return reachability.isCutOff();
  }

  /** Replaces the upstreams in use. */
  void upstreamsChanged(List<UpstreamDefinition> newer) {
    upstreams = List.copyOf(newer);
  }

  /** Records that a connection was opened. */
  void connected(long startedAtMillis) {
    boolean wasCutOff = isCutOff();
    reachability.connected(startedAtMillis);
    if (wasCutOff) {
      LOG.atInfo()
          .addKeyValue("afterMillis", clock.millis() - cutOffAtMillis)
          .log("upstreams are reached again");
      changed.run();
    }
  }

  /** Records that a connection could not be opened. */
  void failed(UpstreamDefinition upstream, long startedAtMillis, String cause) {
    boolean wasCutOff = isCutOff();
    reachability.failed(upstream.name(), startedAtMillis, upstreams.size());
    if (isCutOff() && !wasCutOff) {
      cutOffAtMillis = clock.millis();
      LOG.atWarn()
          .addKeyValue("upstreams", upstreams.size())
          .addKeyValue("last", upstream.name())
          .addKeyValue("cause", cause)
          .log("no upstream is reached");
      changed.run();
    } else if (!isCutOff()) {
      probeOthers();
    }
  }

  /**
   * Probes upstreams if that is due; called several times a second.
   *
   * @param isSilent whether calls are in flight and none has received anything for some time
   */
  void tick(boolean isSilent) {
    if (isSilent || reachability.isInDoubt()) {
      probeOthers();
    }
  }

  private void probeOthers() {
    long nowMillis = clock.millis();
    if (nowMillis - probedAtMillis < PROBE_INTERVAL_MILLIS) {
      return;
    }
    probedAtMillis = nowMillis;
    List<UpstreamDefinition> candidates = new ArrayList<>(upstreams);
    if (!isCutOff()) {
      candidates.removeIf(upstream -> reachability.hasFailed(upstream.name()));
    }
    Collections.shuffle(candidates, new Random(random.nextLong()));
    candidates.stream().limit(PROBES).forEach(probe);
  }
}
