package org.marjoramsail.core.placement;

import java.util.Optional;
import org.marjoramsail.core.failure.Refusal;
import org.marjoramsail.core.failure.RefusalReason;
import org.marjoramsail.core.model.ServiceClass;
import org.marjoramsail.core.model.UpstreamRole;

/** Predicts how long an attempt will wait, and refuses early what would wait too long. */
final class WaitEstimator {

  /** A wait is believed to be at least that share of its estimate. */
  private static final double CONFIDENCE = 0.8;

  private static final long LEAST_RETRY_MILLIS = 1_000;

  private final ShardUpstreams upstreams;
  private final WaitingQueue queue;
  private final PlacementEstimates estimates;
  private final UpstreamSelector selector;

  WaitEstimator(
      ShardUpstreams upstreams,
      WaitingQueue queue,
      PlacementEstimates estimates,
      UpstreamSelector selector) {
    this.upstreams = upstreams;
    this.queue = queue;
    this.estimates = estimates;
    this.selector = selector;
  }

  /** The refusal of a waiting attempt that will not start in time. */
  Optional<Refusal> refusal(WaitingAttempt attempt, long nowMillis) {
    long leftMillis = attempt.expiresAt() - nowMillis;
    int ownAhead = ownAhead(attempt);
    long rateMillis = attempt.organisation().rateWaitMillis(ownAhead, nowMillis);
    if (rateMillis > leftMillis) {
      String detail = "The rates of " + attempt.organisation().name() + " leave no room for it.";
      return Optional.of(Refusal.notRun(RefusalReason.ORGANISATION_RATE, detail, rateMillis));
    }
    double wait = waitMillis(attempt, nowMillis);
    if (wait * CONFIDENCE <= leftMillis) {
      return Optional.empty();
    }
    long retryAfter = Math.max(LEAST_RETRY_MILLIS, (long) wait - leftMillis);
    String detail =
        "It would wait about " + Math.round(wait) + " ms for " + attempt.missing().code() + ".";
    return Optional.of(Refusal.notRun(attempt.missing().reason(), detail, retryAfter));
  }

  /**
   * How long an attempt that has just come will wait, in milliseconds.
   *
   * <p>Ahead of it is what waits in its lane and those before it, but never more than its
   * organisation's fair share lets others take meanwhile: a flood of one organisation must not make
   * the small requests of another look hopeless.
   */
  double waitMillis(WaitingAttempt attempt, long nowMillis) {
    ServiceClass lane = attempt.lane();
    int countAhead = Math.max(1, queue.countAhead(lane));
    double weight = attempt.organisation().weight();
    double fairAhead = (ownAhead(attempt) + 1) * queue.activeWeight() / weight;
    double ahead = Math.min(countAhead, Math.max(1, fairAhead));
    double aheadTokens = queue.workAhead(lane) * ahead / countAhead;
    int free = selector.freeSlots(attempt.request().serviceClass(), nowMillis);
    int slots = 0;
    double readRate = 0;
    double readQueue = Double.POSITIVE_INFINITY;
    for (UpstreamState upstream : upstreams.all()) {
      if (!upstream.isUsable(nowMillis)) {
        continue;
      }
      if (upstream.role() == UpstreamRole.PREFILL) {
        readRate += upstream.prefillTokensPerMilli();
        readQueue = Math.min(readQueue, upstream.queueMillis(nowMillis));
      } else {
        slots += upstream.slots();
      }
    }
    double slotWait = Math.max(0, ahead - free) * estimates.holdMillis() / Math.max(1, slots);
    boolean isReading = attempt.missing() == MissingResource.PREFILL_CAPACITY && readRate > 0;
    double own = attempt.request().promptTokens();
    double readWait = isReading ? readQueue + Math.max(0, aheadTokens - own) / readRate : 0;
    return Math.max(slotWait, readWait);
  }

  private static int ownAhead(WaitingAttempt attempt) {
    int ahead = 0;
    for (ServiceClass lane : ServiceClass.values()) {
      if (lane.rank() <= attempt.lane().rank()) {
        ahead += attempt.organisation().lane(lane).attempts().size();
      }
    }
    return ahead - 1;
  }
}
