package org.marjoramsail.core.claim;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.marjoramsail.core.claim.ClaimResult.Kind;

/**
 * Tracks the claims that one daemon has sent and that have no result yet.
 *
 * <p>Each claim gets exactly one result. Not thread-safe.
 */
public final class ClaimRequests {

  private static final int MAXIMUM_ABANDONED_CLAIMS = 10_000;
  private static final int MAXIMUM_DOUBLINGS = 6;

  /** A step that the daemon has to perform for its claims. */
  public sealed interface Step {

    /** Sends the claim to the daemon that batches the segment at present. */
    record SendClaim(Claim claim) implements Step {}

    /** Delivers the result to the caller that opened the claim. */
    record Finish(ClaimId claim, ClaimResult result) implements Step {}

    /** Sends the outcome of the claimed request to the daemon that batches the segment. */
    record Settle(Settlement settlement) implements Step {}
  }

  private record OpenClaim(Claim claim, long deadlineMillis, long resendAtMillis, int attempts) {}

  private final ClaimSettings settings;
  private final Map<ClaimId, OpenClaim> openClaims = new LinkedHashMap<>();
  private final Map<ClaimId, Claim> abandonedClaims = new LinkedHashMap<>();

  /** Creates an instance without claims. */
  public ClaimRequests(ClaimSettings settings) {
    this.settings = settings;
  }

  /** Starts a claim. */
  public List<Step> open(Claim claim, long nowMillis) {
    long deadline = nowMillis + claim.withinMillis();
    openClaims.put(
        claim.id(), new OpenClaim(claim, deadline, nowMillis + settings.resendMillis(), 1));
    return List.of(new Step.SendClaim(claim));
  }

  /** Handles a result, which may be a duplicate, delayed, or of an abandoned claim. */
  public List<Step> result(ClaimId id, ClaimResult result) {
    OpenClaim openClaim = openClaims.remove(id);
    if (openClaim == null) {
      return result.kind() == Kind.GRANTED ? release(id) : List.of();
    }
    if (result.kind() == Kind.GRANTED) {
      return List.of(new Step.Finish(id, result));
    }
    if (result.kind() == Kind.STORE_UNAVAILABLE && openClaim.attempts() > 1) {
      // An earlier attempt may have reached another daemon that records the claim.
      abandon(openClaim.claim());
      return List.of(new Step.Finish(id, ClaimResult.of(Kind.UNCERTAIN)));
    }
    if (result.kind() == Kind.UNCERTAIN) {
      abandon(openClaim.claim());
    }
    return List.of(new Step.Finish(id, result));
  }

  /** Resends the claims that are due and abandons those past their deadline. */
  public List<Step> tick(long nowMillis) {
    List<Step> steps = new ArrayList<>();
    for (OpenClaim openClaim : List.copyOf(openClaims.values())) {
      ClaimId id = openClaim.claim().id();
      if (nowMillis >= openClaim.deadlineMillis()) {
        openClaims.remove(id);
        abandon(openClaim.claim());
        steps.add(new Step.Finish(id, ClaimResult.of(Kind.UNCERTAIN)));
      } else if (nowMillis >= openClaim.resendAtMillis()) {
        // Exponential backoff: an overloaded batching daemon would otherwise receive so many copies
        // of each claim that it never recovers.
        long resendAtMillis =
            nowMillis
                + (settings.resendMillis() << Math.min(openClaim.attempts(), MAXIMUM_DOUBLINGS));
        openClaims.put(
            id,
            new OpenClaim(
                openClaim.claim(),
                openClaim.deadlineMillis(),
                resendAtMillis,
                openClaim.attempts() + 1));
        steps.add(
            new Step.SendClaim(
                openClaim.claim().withRemainingMillis(openClaim.deadlineMillis() - nowMillis)));
      }
    }
    return steps;
  }

  /** Returns whether no claim waits for a result. */
  public boolean isEmpty() {
    return openClaims.isEmpty();
  }

  /**
   * Frees the key of a claim that was granted after it was abandoned. A duplicate grant of a claim
   * in use must not free the key, or the request could run twice.
   */
  private List<Step> release(ClaimId id) {
    return Optional.ofNullable(abandonedClaims.remove(id))
        .map(
            claim ->
                new Settlement(id, claim.keyHash(), new ClaimOutcome(ClaimState.NOT_RUN, 0, "")))
        .<List<Step>>map(settlement -> List.of(new Step.Settle(settlement)))
        .orElse(List.of());
  }

  private void abandon(Claim claim) {
    abandonedClaims.put(claim.id(), claim);
    if (abandonedClaims.size() > MAXIMUM_ABANDONED_CLAIMS) {
      abandonedClaims.remove(abandonedClaims.keySet().iterator().next());
    }
  }
}
