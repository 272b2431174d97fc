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
  private static final long SEARCH_MILLIS = 60_000;

  private static final class Gone {
    private final long untilMillis;
    private final Set<UpstreamName> confirmed = new HashSet<>();
    private final Set<UpstreamName> asking = new HashSet<>();

    Gone(long untilMillis) {
      this.untilMillis = untilMillis;
    }
  }

  private final EngineClient engines;
  private final WatchedUpstreams upstreams;
  private final Clock clock;
  private final Counter cancelled;
  private final Counter failures;
  private final Map<DaemonId, Gone> gone = new HashMap<>();

  /** Looks for nobody yet. */
  public OrphanCanceller(
      EngineClient engines, WatchedUpstreams upstreams, Clock clock, MeterRegistry meters) {
    this.engines = engines;
    this.upstreams = upstreams;
    this.clock = clock;
    this.cancelled = meters.counter("marjoramsail.orphans.cancelled");
    this.failures = meters.counter("marjoramsail.orphans.cancel.failures");
  }

  /** Records that a run of a daemon is dead. */
  public synchronized void daemonFailed(DaemonId daemon) {
    gone.put(daemon, new Gone(clock.millis() + SEARCH_MILLIS));
  }

  /** Asks the engines that have not confirmed yet; called some times a second. */
  public synchronized void tick() {
    gone.values().removeIf(one -> one.untilMillis <= clock.millis());
    if (gone.isEmpty()) {
      return;
    }
    for (UpstreamDefinition upstream : upstreams.watched()) {
      if (upstream.role() != UpstreamRole.PLAIN) {
        gone.forEach((daemon, state) -> ask(daemon, state, upstream));
      }
    }
  }

  private void ask(DaemonId daemon, Gone state, UpstreamDefinition upstream) {
    UpstreamName name = upstream.name();
    if (state.confirmed.contains(name) || !state.asking.add(name)) {
      return;
    }
    engines
        .cancelAll(UpstreamEndpoint.of(upstream), daemon)
        .onComplete(count -> answered(state, name, count), failure -> failed(state, name));
  }

  private synchronized void answered(Gone state, UpstreamName name, int count) {
    state.asking.remove(name);
    state.confirmed.add(name);
    cancelled.increment(count);
  }

  private synchronized void failed(Gone state, UpstreamName name) {
    state.asking.remove(name);
    failures.increment();
  }
}
