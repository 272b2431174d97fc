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
 * Cancels the attempts that failed daemons have left on engines.
 *
 * <p>Guards against the failure in which a daemon crashes or freezes with its connections half
 * open: engines continue to generate for disconnected callers, and decode slots stay occupied. The
 * owner of each engine's shard cancels all attempts of the failed incarnation until the engine
 * confirms. A daemon that was only paused retries, as after any interrupted stream.
 */
public final class OrphanCanceller {

  /** Time during which the attempts of a failed incarnation are cancelled, in milliseconds. */
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

  /** Creates a canceller without failed daemons. */
  public OrphanCanceller(
      EngineClient engines, WatchedUpstreams upstreams, Clock clock, MeterRegistry meters) {
    this.engines = engines;
    this.upstreams = upstreams;
    this.clock = clock;
    this.cancelled = meters.counter("marjoramsail.orphans.cancelled");
    this.cancelFailures = meters.counter("marjoramsail.orphans.cancel.failures");
  }

  /** Records that an incarnation of a daemon has failed. */
  public synchronized void daemonFailed(DaemonId daemon) {
    failedDaemons.put(daemon, new FailedDaemon(clock.millis() + CANCEL_PERIOD_MILLIS));
  }

  /** Sends cancels to the engines that have not confirmed; called several times a second. */
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
