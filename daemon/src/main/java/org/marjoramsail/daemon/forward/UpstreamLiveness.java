package org.marjoramsail.daemon.forward;

import java.util.function.Consumer;
import org.marjoramsail.core.model.Incarnation;
import org.marjoramsail.core.model.UpstreamName;
import org.marjoramsail.core.outcome.Quarantine;
import org.marjoramsail.core.time.Clock;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Reports responses, failed connections and restarts of upstreams to the quarantine. */
public final class UpstreamLiveness implements LivenessListener {

  private static final Logger LOG = LoggerFactory.getLogger(UpstreamLiveness.class);

  /** Replaces the start time of an upstream that reports none. */
  private static final long DEFAULT_START_MILLIS = 1;

  /**
   * An entry stays in the list after its upstream has failed, so that it does not count as a
   * response.
   */
  private static final long NO_RESPONSE_MILLIS = Long.MIN_VALUE;

  private final Quarantine quarantine;
  private final Clock clock;
  private final Consumer<UpstreamName> restarted;

  /**
   * Creates an instance.
   *
   * @param quarantine counts at most one crash for each incarnation
   * @param clock returns the current time
   * @param restarted receives upstreams that have restarted, on which no earlier request runs any
   *     more
   */
  public UpstreamLiveness(Quarantine quarantine, Clock clock, Consumer<UpstreamName> restarted) {
    this.quarantine = quarantine;
    this.clock = clock;
    this.restarted = restarted;
  }

  /** Handles an incarnation in the list of upstreams. */
  public void listed(Incarnation upstream) {
    if (recordIncarnation(upstream, NO_RESPONSE_MILLIS)) {
      LOG.atInfo().addKeyValue("upstream", upstream).log("upstream has started again");
      restarted.accept(upstream.upstream());
    }
  }

  @Override
  public void responded(Incarnation upstream, long sentAtMillis) {
    recordIncarnation(upstream, sentAtMillis);
  }

  @Override
  public void connectionFailed(UpstreamName upstream) {
    quarantine.connectionsRefused(upstream, clock.millis());
  }

  private boolean recordIncarnation(Incarnation upstream, long asOfMillis) {
    long start = Math.max(DEFAULT_START_MILLIS, upstream.startedAtMillis());
    return quarantine.incarnation(upstream.upstream(), start, asOfMillis, clock.millis());
  }
}
