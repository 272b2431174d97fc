package org.marjoramsail.core.placement;

import java.util.Optional;
import org.marjoramsail.core.failure.Refusal;
import org.marjoramsail.core.failure.RefusalReason;
import org.marjoramsail.core.model.UpstreamRole;

/** Predicts how long an attempt will wait, and refuses early what would wait too long. */
final class WaitEstimator {

  /** A wait is believed to be at least that share of its estimate. */
  private static final double CERTAIN_SHARE = 0.6;

  /** Skipped lanes are served now and then, so that some capacity is always remaining for each. */
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
   * The refusal of a waiting attempt that will not start in time.
   *
   * <p>What is beyond the limits of its organisation waits only as long as it can be in time: those
   * beyond a limit are never caught up, and would take the places of its next requests.
   *
   * <p>Nothing is refused for a wait that is only guessed; what waits in vain then is refused when
   * its time is over.
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
          "The rates of "
              + organisation.name()
              + " leave no room for it: "
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
        "It would wait about " + Math.round(wait) + " ms for " + attempt.missing().code() + ".";
    return Optional.of(Refusal.notRun(attempt.missing().reason(), detail, retryAfter));
  }

  /**
   * How long an attempt that has just come will wait, in milliseconds.
   *
   * <p>More urgent classes are served first and keep taking what they took of late; the rest is for
   * its lane. Ahead of it in the lane is never more than its organisation's fair share lets others
   * take meanwhile: a flood of one organisation must not make the few requests of another look
   * hopeless.
   */
  double waitMillis(WaitingAttempt attempt, long nowMillis) {
    WaitingQueue.WorkAhead ahead = queue.workAhead(attempt.lane(), nowMillis);
    double fairCount =
        (aheadInOrganisation(attempt) + 1) * queue.activeWeight() / attempt.organisation().weight();
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
