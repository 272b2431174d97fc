package org.marjoramsail.daemon.request;

import io.vertx.core.Future;
import java.util.Optional;
import org.marjoramsail.core.claim.ClaimKey;
import org.marjoramsail.core.claim.ClaimOutcome;
import org.marjoramsail.core.claim.ClaimResult;
import org.marjoramsail.core.claim.ClaimState;
import org.marjoramsail.core.configuration.StoreOutagePolicy;
import org.marjoramsail.core.failure.Refusal;
import org.marjoramsail.core.failure.RefusalReason;
import org.marjoramsail.core.failure.RunState;
import org.marjoramsail.daemon.claim.ClaimService;

/** Records claims in the platform's store and refuses requests whose key is already claimed. */
public final class StoredClaims implements ClaimGate {

  /** Recording a claim may take the time until the deadline divided by this. */
  private static final int DEADLINE_DIVISOR = 2;

  private static final long RUNNING_RETRY_MILLIS = 1_000;
  private static final long STORE_RETRY_MILLIS = 2_000;

  private final ClaimService claims;

  /** Creates a gate that records claims through a service. */
  public StoredClaims(ClaimService claims) {
    this.claims = claims;
  }

  @Override
  public Future<ClaimDecision> claim(ClaimRequest request) {
    return claims
        .claim(
            new org.marjoramsail.daemon.claim.ClaimRequest(
                keyOf(request),
                Long.toHexString(request.fingerprint()),
                request.deadlineWithinMillis() / DEADLINE_DIVISOR))
        .map(result -> decision(request, result));
  }

  @Override
  public void settle(ClaimRequest request, org.marjoramsail.core.outcome.ClaimOutcome outcome) {
    ClaimState state =
        switch (outcome) {
          case COMPLETED -> ClaimState.COMPLETED;
          case NOT_RUN -> ClaimState.NOT_RUN;
          case UNKNOWN -> ClaimState.UNKNOWN;
        };
    claims.settle(keyOf(request), new ClaimOutcome(state, 0, request.request().value()));
  }

  private static ClaimKey keyOf(ClaimRequest request) {
    return new ClaimKey(request.organisation(), request.service(), request.key());
  }

  private static ClaimDecision decision(ClaimRequest request, ClaimResult result) {
    return switch (result.kind()) {
      case GRANTED -> new ClaimDecision.Claimed();
      case COMPLETED_BEFORE -> refused(completedBefore(request, result));
      case RUNNING_ELSEWHERE ->
          refused(
              new Refusal(
                  RefusalReason.ALREADY_RUNNING,
                  RunState.UNKNOWN,
                  describeKey(request) + " is being run for an earlier request.",
                  Optional.of(RUNNING_RETRY_MILLIS)));
      case UNKNOWN_BEFORE ->
          refused(
              Refusal.unknown(
                  RefusalReason.RAN_BEFORE,
                  describeKey(request) + " was sent for an earlier request and may have run."));
      case CONFLICTING_BODY ->
          refused(
              Refusal.notRun(
                  RefusalReason.IDEMPOTENCY_CONFLICT,
                  describeKey(request)
                      + " was used with other content; allowed: a new key, or the same content."));
      case STORE_UNAVAILABLE -> storeUnavailable(request);
      case UNCERTAIN ->
          refused(claimNotRecorded(describeKey(request) + " could not be recorded in time;"));
    };
  }

  private static Refusal completedBefore(ClaimRequest request, ClaimResult result) {
    String earlier = result.outcome().map(outcome -> " as " + outcome.summary()).orElse("");
    return new Refusal(
        RefusalReason.ALREADY_ANSWERED,
        RunState.RAN,
        describeKey(request) + " was run and answered" + earlier + ".",
        Optional.empty());
  }

  private static ClaimDecision storeUnavailable(ClaimRequest request) {
    if (request.storeOutagePolicy() == StoreOutagePolicy.RUN_UNCLAIMED) {
      return new ClaimDecision.Claimed();
    }
    return refused(
        claimNotRecorded(
            describeKey(request)
                + " cannot be recorded while the platform's store does not answer;"));
  }

  /** The run state is unknown, since an earlier request with the key may have run. */
  private static Refusal claimNotRecorded(String reason) {
    return new Refusal(
        RefusalReason.STORE_UNAVAILABLE,
        RunState.UNKNOWN,
        reason + " this request was not sent, an earlier one with the key may have been.",
        Optional.of(STORE_RETRY_MILLIS));
  }

  private static ClaimDecision refused(Refusal refusal) {
    return new ClaimDecision.Refused(refusal);
  }

  private static String describeKey(ClaimRequest request) {
    return "Idempotency key '" + request.key() + "'";
  }
}
