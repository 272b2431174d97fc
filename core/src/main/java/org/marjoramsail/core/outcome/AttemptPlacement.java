package org.marjoramsail.core.outcome;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.marjoramsail.core.model.UpstreamName;
import org.marjoramsail.core.placement.PlacementRequest;
import org.marjoramsail.core.placement.PriorCalls;

/**
 * Creates the placement requests for the attempts of one request. They avoid the upstreams on which
 * an earlier attempt failed or makes no progress.
 */
final class AttemptPlacement {

  private final RequestProfile profile;
  private final LifecyclePolicy policy;
  private final QuarantineGuard guard;
  private final Set<UpstreamName> avoided = new LinkedHashSet<>();

  AttemptPlacement(RequestProfile profile, LifecyclePolicy policy, QuarantineGuard guard) {
    this.profile = profile;
    this.policy = policy;
    this.guard = guard;
  }

  /**
   * Records an upstream on which an attempt failed or makes no progress; later attempts avoid it.
   */
  void avoid(UpstreamName upstream) {
    avoided.add(upstream);
  }

  /** Returns whether some upstreams are avoided only because they hold other suspects now. */
  boolean isAvoidingSuspects(long nowMillis) {
    return guard.isAvoidingSuspects(avoided, nowMillis);
  }

  /**
   * Returns the placement request of an attempt.
   *
   * @param attempt the attempt that is to be placed
   * @param output output that the caller was already sent, which the attempt continues
   * @param progress how long the caller waits
   * @param usableKv KV cache of an earlier prefill, if it can still be used
   * @param priorCalls which upstreams earlier attempts reached
   * @param isolated whether the attempt may not share an upstream with a suspect
   */
  PlacementRequest request(
      CurrentAttempt attempt,
      StreamOutput output,
      RequestProgress progress,
      Optional<KvSource> usableKv,
      PriorCalls priorCalls,
      boolean isolated,
      long nowMillis) {
    // A grant is useless after the deadline, or once the caller has given up waiting.
    long usefulUntilMillis =
        Math.min(
            profile.deadlineAtMillis(),
            progress.callerWaitsUntilMillis(policy.callerPatienceMillis()));
    List<UpstreamName> allAvoided =
        isolated ? guard.upstreamsToAvoid(avoided) : List.copyOf(avoided);
    return new PlacementRequestBuilder(
            profile,
            attempt.placementId(),
            attempt.number(),
            output.generatedTokens(),
            usefulUntilMillis,
            usableKv,
            priorCalls,
            output.requiredVersion())
        .build(nowMillis, allAvoided, isolated);
  }
}
