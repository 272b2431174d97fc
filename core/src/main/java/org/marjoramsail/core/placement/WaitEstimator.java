package org.marjoramsail.core.placement;

import java.util.Optional;
import org.marjoramsail.core.failure.Refusal;
import org.marjoramsail.core.failure.RefusalReason;
import org.marjoramsail.core.model.UpstreamRole;

/** Estimates how long an attempt will wait, and refuses attempts whose wait would be too long. */
final class WaitEstimator {

  /** Share of an estimated wait that is taken as certain when an attempt is refused for it. */
  private static final double CERTAIN_SHARE = 0.6;

  /**
   * Minimum share of the capacity for less urgent lanes, which the queue serves even under load.
   */
  private static final double MINIMUM_CAPACITY_SHARE = 0.1;

  private static final long MINIMUM_RETRY_MILLIS = 1_000;

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

  /**
   * Returns the refusal of a waiting attempt that will not start before its deadline.
   *
   * <p>An attempt above the rate limits of its organisation may wait only until its target: it
   * would take credit from the organisation's next requests, which would then be late as well.
   *
   * <p>An attempt is not refused for a wait that follows from initial estimates only; it is refused
   * when its time has passed.
   */
  Optional<Refusal> refusal(WaitingAttempt attempt, long nowMillis) {
    long remainingMillis = attempt.usefulUntil() - nowMillis;
    int aheadInOrganisation = aheadInOrganisation(attempt);
    OrganisationState organisation = attempt.organisation();
    long rateMillis =
        organisation.rateWaitMillis(
            aheadInOrganisation, attempt.request().countedTokens(), nowMillis);
    if (rateMillis > Math.max(0, attempt.expiresAt() - nowMillis)) {
      String detail =
          "The rate limits of "
              + organisation.name()
              + " do not admit the request before its target: "
              + organisation.describeLimits(nowMillis)
              + ".";
      return Optional.of(Refusal.notRun(RefusalReason.ORGANISATION_RATE, detail, rateMillis));
    }
    double wait = waitMillis(attempt, nowMillis);
    boolean isInitialEstimate = !estimates.hasEnoughSamples() && remainingMillis >= 0;
    if (isInitialEstimate || wait * CERTAIN_SHARE <= remainingMillis) {
      return Optional.empty();
    }
    long retryAfter = Math.max(MINIMUM_RETRY_MILLIS, (long) wait - remainingMillis);
    String detail =
        "The request would wait about "
            + Math.round(wait)
            + " ms for "
            + selector.describeMissing(attempt, nowMillis)
            + ".";
    return Optional.of(Refusal.notRun(attempt.missing().reason(), detail, retryAfter));
  }

  /**
   * Returns the estimated wait of an attempt that has just arrived, in milliseconds.
   *
   * <p>More urgent classes and ranks, including late attempts of those ranks, are served first and
   * are assumed to continue at their recent rate; the remaining capacity serves the attempt's lane.
   * Within the lane only as many attempts count as its organisation's fair share allows to be
   * served before it. Guards against a flood from one organisation that makes the few requests of
   * another look hopeless.
   */
  double waitMillis(WaitingAttempt attempt, long nowMillis) {
    WaitingQueue.WorkAhead ahead = queue.workAhead(attempt.lane(), nowMillis);
    double fairCount =
        (aheadInOrganisation(attempt) + 1)
            * queue.activeWeight(attempt.lane())
            / attempt.organisation().weight();
    double share = Math.min(1, Math.max(1, fairCount) / Math.max(1, ahead.count()));
    double slotRate = 0;
    double prefillRate = 0;
    double shortestPrefillQueue = Double.POSITIVE_INFINITY;
    for (UpstreamState upstream : upstreams.all()) {
      if (!upstream.isUsable(nowMillis)) {
        continue;
      }
      if (upstream.role() == UpstreamRole.PREFILL) {
        prefillRate += upstream.prefillTokensPerMilli();
        shortestPrefillQueue = Math.min(shortestPrefillQueue, upstream.queueMillis(nowMillis));
      } else {
        slotRate += upstream.requestsPerMilli(estimates.heldTokens(), estimates.holdMillis());
      }
    }
    int free = selector.freeSlots(attempt.request().serviceClass(), nowMillis);
    slotRate = slotRate > 0 ? slotRate : 1 / estimates.holdMillis();
    double slotWait =
        waitFor(
            ahead.urgentCount() - free,
            ahead.count() * share,
            slotRate,
            ahead.urgentGrantsPerMilli());
    if (attempt.missing() != MissingResource.PREFILL_CAPACITY || prefillRate <= 0) {
      return slotWait;
    }
    double others = Math.max(0, ahead.tokens() * share - attempt.request().promptTokens());
    double prefillWait =
        waitFor(ahead.urgentTokens(), others, prefillRate, ahead.urgentPrefillTokensPerMilli());
    return Math.max(slotWait, shortestPrefillQueue + prefillWait);
  }

  private static double waitFor(double urgent, double lane, double capacity, double takenByUrgent) {
    double remaining = Math.max(capacity * MINIMUM_CAPACITY_SHARE, capacity - takenByUrgent);
    double spare = Math.min(0, urgent);
    return Math.max(0, urgent) / capacity + Math.max(0, lane + spare) / remaining;
  }

  private static int aheadInOrganisation(WaitingAttempt attempt) {
    return attempt.organisation().lane(attempt.lane()).attempts().size() - 1;
  }
}
