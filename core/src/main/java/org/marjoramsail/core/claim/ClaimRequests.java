package org.marjoramsail.core.claim;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.marjoramsail.core.claim.ClaimResult.Kind;

/**
 * The claims that one daemon has asked for and not yet heard of.
 *
 * <p>Each claim gets exactly one result. Not safe for several threads.
 */
public final class ClaimRequests {

  private static final int MAXIMUM_ABANDONED_CLAIMS = 10_000;
  private static final int MAXIMUM_DOUBLINGS = 6;

  /** What to do about the claims of this daemon. */
  public sealed interface Step {

    /** Ask the daemon that batches the segment, whichever it is now. */
    record SendClaim(Claim claim) implements Step {}

    /** Tell the caller of the claim. */
    record Finish(ClaimId claim, ClaimResult result) implements Step {}

    /** Tell the daemon that batches the segment how the claim ended. */
    record Settle(Settlement settlement) implements Step {}
  }

  private record OpenClaim(Claim claim, long deadlineMillis, long resendAtMillis, int attempts) {}

  private final ClaimSettings settings;
  private final Map<ClaimId, OpenClaim> openClaims = new LinkedHashMap<>();
  private final Map<ClaimId, Claim> abandonedClaims = new LinkedHashMap<>();

  /** Creates an instance with the paces. */
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

  /** Handles a result, which may be a copy, late, or of a claim given up. */
  public List<Step> result(ClaimId id, ClaimResult result) {
    OpenClaim openClaim = openClaims.remove(id);
    if (openClaim == null) {
      return result.kind() == Kind.GRANTED ? release(id) : List.of();
    }
    if (result.kind() == Kind.GRANTED) {
      return List.of(new Step.Finish(id, result));
    }
    if (result.kind() == Kind.STORE_UNAVAILABLE && openClaim.attempts() > 1) {
      // An earlier copy of the claim may have reached another daemon that records it.
      abandon(openClaim.claim());
      return List.of(new Step.Finish(id, ClaimResult.of(Kind.UNCERTAIN)));
    }
    if (result.kind() == Kind.UNCERTAIN) {
      abandon(openClaim.claim());
    }
    return List.of(new Step.Finish(id, result));
  }

  /** Asks again, and gives up what is late. */
  public List<Step> tick(long nowMillis) {
    List<Step> steps = new ArrayList<>();
    for (OpenClaim openClaim : List.copyOf(openClaims.values())) {
      ClaimId id = openClaim.claim().id();
      if (nowMillis >= openClaim.deadlineMillis()) {
        openClaims.remove(id);
        abandon(openClaim.claim());
        steps.add(new Step.Finish(id, ClaimResult.of(Kind.UNCERTAIN)));
      } else if (nowMillis >= openClaim.resendAtMillis()) {
        // Each wait is longer than the last: a batching daemon that is slow would otherwise get so
        // many copies of each claim that it falls behind for good.
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

  /** Whether any claim waits for its result. */
  public boolean isEmpty() {
    return openClaims.isEmpty();
  }

  /**
   * Frees the key of a claim that was given up and then granted. Only such claims: a second copy of
   * a grant that is being used must not free the key, or the request would run twice.
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
