package org.marjoramsail.daemon.request;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Future;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.marjoramsail.core.claim.ClaimKey;
import org.marjoramsail.core.claim.ClaimOutcome;
import org.marjoramsail.core.claim.ClaimResult;
import org.marjoramsail.core.claim.ClaimResult.Kind;
import org.marjoramsail.core.claim.ClaimState;
import org.marjoramsail.core.configuration.StoreOutagePolicy;
import org.marjoramsail.core.failure.Refusal;
import org.marjoramsail.core.failure.RefusalReason;
import org.marjoramsail.core.failure.RunState;
import org.marjoramsail.core.model.RequestId;
import org.marjoramsail.daemon.claim.ClaimService;

final class StoredClaimsTest {

  private final List<ClaimOutcome> settled = new ArrayList<>();

  private ClaimGate gate(ClaimResult result) {
    return new StoredClaims(
        new ClaimService() {
          @Override
          public Future<ClaimResult> claim(org.marjoramsail.daemon.claim.ClaimRequest request) {
            return Future.succeededFuture(result);
          }

          @Override
          public Future<Void> settle(ClaimKey key, ClaimOutcome outcome) {
            settled.add(outcome);
            return Future.succeededFuture();
          }
        });
  }

  private static ClaimRequest ballotClaim(StoreOutagePolicy policy) {
    return new ClaimRequest(
        new RequestId("q1"), "cabildo", "votacion", "ballot-7", 9, policy, 1_000);
  }

  private static ClaimDecision decision(ClaimGate gate, StoreOutagePolicy policy) {
    return gate.claim(ballotClaim(policy)).result();
  }

  /**
   * Guards against a repeated request that runs twice, or is reported as "not run" although an
   * earlier request with its key ran.
   */
  @ParameterizedTest
  @CsvSource({
    "RUNNING_ELSEWHERE,ALREADY_RUNNING,UNKNOWN",
    "UNKNOWN_BEFORE,RAN_BEFORE,UNKNOWN",
    "COMPLETED_BEFORE,ALREADY_ANSWERED,RAN",
    "CONFLICTING_BODY,IDEMPOTENCY_CONFLICT,NOT_RUN",
    "STORE_UNAVAILABLE,STORE_UNAVAILABLE,UNKNOWN",
    "UNCERTAIN,STORE_UNAVAILABLE,UNKNOWN",
  })
  void aClaimThatIsNotGrantedIsRefusedWithItsRunState(
      Kind kind, RefusalReason reason, RunState run) {
    ClaimDecision decision = decision(gate(ClaimResult.of(kind)), StoreOutagePolicy.REFUSE);

    Refusal refusal = ((ClaimDecision.Refused) decision).refusal();
    assertThat(refusal.reason()).isEqualTo(reason);
    assertThat(refusal.runState()).isEqualTo(run);
    assertThat(refusal.detail()).contains("ballot-7");
  }

  @Test
  void aRequestWithAGrantedClaimMayBeSent() {
    assertThat(decision(gate(ClaimResult.of(Kind.GRANTED)), StoreOutagePolicy.REFUSE))
        .isEqualTo(new ClaimDecision.Claimed());
  }

  @Test
  void aRepeatedRequestIsRefusedWithTheOutcomeOfTheFirst() {
    ClaimOutcome first = new ClaimOutcome(ClaimState.COMPLETED, 201, "q0");
    ClaimResult before =
        new ClaimResult(Kind.COMPLETED_BEFORE, Optional.of(first), Optional.empty());

    ClaimDecision decision = decision(gate(before), StoreOutagePolicy.RUN_UNCLAIMED);

    assertThat(((ClaimDecision.Refused) decision).refusal().detail()).contains("as q0");
  }

  /** Guards against a second run of a request whose claim may have been recorded. */
  @Test
  void aRequestRunsUnclaimedOnlyIfTheStoreIsCertainlyUnavailable() {
    StoreOutagePolicy policy = StoreOutagePolicy.RUN_UNCLAIMED;

    assertThat(decision(gate(ClaimResult.of(Kind.STORE_UNAVAILABLE)), policy))
        .isEqualTo(new ClaimDecision.Claimed());
    assertThat(decision(gate(ClaimResult.of(Kind.UNCERTAIN)), policy))
        .isInstanceOf(ClaimDecision.Refused.class);
  }

  @ParameterizedTest
  @CsvSource({"COMPLETED,COMPLETED", "NOT_RUN,NOT_RUN", "UNKNOWN,UNKNOWN"})
  void theOutcomeOfARequestIsRecordedUnchanged(
      org.marjoramsail.core.outcome.ClaimOutcome end, ClaimState recorded) {
    gate(ClaimResult.of(Kind.GRANTED)).settle(ballotClaim(StoreOutagePolicy.REFUSE), end);

    assertThat(settled).containsExactly(new ClaimOutcome(recorded, 0, "q1"));
  }
}
