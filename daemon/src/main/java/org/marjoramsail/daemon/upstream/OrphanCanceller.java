package org.marjoramsail.daemon.upstream;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.marjoramsail.core.configuration.UpstreamDefinition;
import org.marjoramsail.core.model.DaemonId;
import org.marjoramsail.core.model.UpstreamName;
import org.marjoramsail.core.model.UpstreamRole;
import org.marjoramsail.core.time.Clock;

/**
 * Cancels what dead daemons left on engines.
 *
 * <p>Guards against the failure in which a daemon dies or freezes with its connections half open:
 * its requests go on generating for callers that are gone, and decode slots stay held. The owner of
 * each engine's shard cancels everything of the dead run there and repeats that until the engine
 * confirms; a run that was only paused sees its streams cut and tries again as after any cut.
 */
public final class OrphanCanceller {

  /** For how long a dead run's attempts are looked for, in milliseconds. */
  private static final long CANCEL_PERIOD_MILLIS = 60_000;

  private static final class FailedDaemon {
    private final long untilMillis;
    private final Set<UpstreamName> confirmed = new HashSet<>();
    private final Set<UpstreamName> pending = new HashSet<>();

    FailedDaemon(long untilMillis) {
      this.untilMillis = untilMillis;
    }
  }

  private final EngineClient engines;
  private final WatchedUpstreams upstreams;
  private final Clock clock;
  private final Counter cancelled;
  private final Counter cancelFailures;
  private final Map<DaemonId, FailedDaemon> failedDaemons = new HashMap<>();

  /** Looks for nobody yet. */
  public OrphanCanceller(
      EngineClient engines, WatchedUpstreams upstreams, Clock clock, MeterRegistry meters) {
    this.engines = engines;
    this.upstreams = upstreams;
    this.clock = clock;
    this.cancelled = meters.counter("marjoramsail.orphans.cancelled");
    this.cancelFailures = meters.counter("marjoramsail.orphans.cancel.failures");
  }

  /** Records that a run of a daemon is dead. */
  public synchronized void daemonFailed(DaemonId daemon) {
    failedDaemons.put(daemon, new FailedDaemon(clock.millis() + CANCEL_PERIOD_MILLIS));
  }

  /** Asks the engines that have not confirmed yet; called some times a second. */
  public synchronized void tick() {
    failedDaemons.values().removeIf(failedDaemon -> failedDaemon.untilMillis <= clock.millis());
    if (failedDaemons.isEmpty()) {
      return;
    }
    for (UpstreamDefinition upstream : upstreams.watched()) {
      if (upstream.role() != UpstreamRole.PLAIN) {
        failedDaemons.forEach(
            (daemon, failedDaemon) -> cancelAttempts(daemon, failedDaemon, upstream));
      }
    }
  }

  private void cancelAttempts(
      DaemonId daemon, FailedDaemon failedDaemon, UpstreamDefinition upstream) {
    UpstreamName name = upstream.name();
    if (failedDaemon.confirmed.contains(name) || !failedDaemon.pending.add(name)) {
      return;
    }
    engines
        .cancelAll(UpstreamEndpoint.of(upstream), daemon)
        .onComplete(
            count -> cancelConfirmed(failedDaemon, name, count),
            failure -> cancelFailed(failedDaemon, name));
  }

  private synchronized void cancelConfirmed(
      FailedDaemon failedDaemon, UpstreamName name, int count) {
    failedDaemon.pending.remove(name);
    failedDaemon.confirmed.add(name);
    cancelled.increment(count);
  }

  private synchronized void cancelFailed(FailedDaemon failedDaemon, UpstreamName name) {
    failedDaemon.pending.remove(name);
    cancelFailures.increment();
  }
}
