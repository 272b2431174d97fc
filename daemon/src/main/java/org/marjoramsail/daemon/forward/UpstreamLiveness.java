package org.marjoramsail.daemon.forward;

import java.util.function.Consumer;
import org.marjoramsail.core.model.Incarnation;
import org.marjoramsail.core.model.UpstreamName;
import org.marjoramsail.core.outcome.Quarantine;
import org.marjoramsail.core.time.Clock;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Tells of signs of life, of crashes and of upstreams that have started again under their name. */
public final class UpstreamLiveness implements LivenessListener {

  private static final Logger LOG = LoggerFactory.getLogger(UpstreamLiveness.class);

  /** Stands for the start of an upstream that does not say when it started. */
  private static final long DEFAULT_START_MILLIS = 1;

  /** An entry stays in the list when its upstream is gone, so it proves no life after a cut. */
  private static final long NO_RESPONSE_MILLIS = Long.MIN_VALUE;

  private final Quarantine quarantine;
  private final Clock clock;
  private final Consumer<UpstreamName> restarted;

  /**
   * Creates an instance with whom it tells.
   *
   * @param quarantine counts a crash once for each life
   * @param clock tells the time
   * @param restarted hears of upstreams on which all that ran is over
   */
  public UpstreamLiveness(Quarantine quarantine, Clock clock, Consumer<UpstreamName> restarted) {
    this.quarantine = quarantine;
    this.clock = clock;
    this.restarted = restarted;
  }

  /** Handles a life that the list shows. */
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
