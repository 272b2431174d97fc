package org.marjoramsail.core.placement;

import static org.assertj.core.api.Assertions.assertThat;
import static org.marjoramsail.core.placement.PlacementFixtures.ENTRY;
import static org.marjoramsail.core.placement.PlacementFixtures.MODEL_SHARD;
import static org.marjoramsail.core.placement.PlacementFixtures.OTHER_ENTRY;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.marjoramsail.core.failure.RefusalReason;
import org.marjoramsail.core.model.DaemonId;
import org.marjoramsail.core.model.RequestId;
import org.marjoramsail.core.model.UpstreamName;

/** The retries that the owner of a shard counts and refuses. */
final class GrantedRetriesTest {

  private static final PriorCalls PREFILL_AND_DECODE = new PriorCalls(true, true);
  private static final int RETRIES = 4;

  /** The first moment at which the slack of four retries is used. */
  private static final long NOW = 10_000;

  private final RetryBudget budget = new RetryBudget(new RetryLimits(0, 2 * RETRIES, NOW));
  private final ShardCoordinator coordinator = owner(budget);

  GrantedRetriesTest() {
    budget.slackShare(1, 0);
  }

  /** Guards against a resumed stream whose second prefill is not counted. */
  @Test
  void aRetryThatPrefillsAgainCountsTwice() {
    place(request("a").after(PREFILL_AND_DECODE).build());

    assertThat(budget.available(NOW)).isEqualTo(RETRIES - 2);
  }

  @Test
  void aRetryThatFetchesALiveKvCacheCountsOnce() {
    place(request("a").after(PREFILL_AND_DECODE).kvHeldBy("prefill-0").build());

    assertThat(budget.available(NOW)).isEqualTo(RETRIES - 1);
  }

  /**
   * Guards against prefills that are repeated without a budget while no decode upstream accepts.
   */
  @Test
  void aSecondPrefillCountsAlsoIfNoDecodeUpstreamWasReached() {
    place(request("a").after(new PriorCalls(true, false)).build());

    assertThat(budget.available(NOW)).isEqualTo(RETRIES - 1);
  }

  /** Guards against a rejected prefill that is repeated on the decode upstream without a grant. */
  @Test
  void aDecodeUpstreamThatPrefillsAfterARejectedPrefillCountsOnce() {
    coordinator.apply(
        (placer, now) ->
            List.of("prefill-0", "prefill-1", "prefill-2").stream()
                .flatMap(name -> placer.availability(new UpstreamName(name), false, now).stream())
                .toList(),
        NOW);

    place(request("a").after(new PriorCalls(false, true)).build());

    assertThat(budget.available(NOW)).isEqualTo(RETRIES - 1);
  }

  /** A connection that failed sent nothing, so the attempt after it repeats nothing. */
  @Test
  void anAttemptAfterFailedConnectionsCostsNothing() {
    place(request("a").build());

    assertThat(budget.available(NOW)).isEqualTo(RETRIES);
  }

  @Test
  void aRetryBeyondTheBudgetIsRefusedAtOnceWithTheCountsThatDecided() {
    place(request("a").after(PREFILL_AND_DECODE).build());
    place(request("b").after(PREFILL_AND_DECODE).build());

    List<PlacementMessage> answers = place(request("c").after(PREFILL_AND_DECODE).build());

    PlacementMessage.Refused refused = (PlacementMessage.Refused) answers.get(0);
    assertThat(refused.refusal().reason()).isEqualTo(RefusalReason.RETRIES_EXHAUSTED);
    assertThat(refused.refusal().detail()).contains("retries 4 in 10000 ms, slack 4");
  }

  /** Guards against retries that a withdrawn attempt holds for good. */
  @Test
  void aRetryThatIsWithdrawnWhileItWaitsIsReturned() {
    for (int request = 0; request < 10; request++) {
      place(request("first-" + request).build());
    }
    place(request("waiting").after(PREFILL_AND_DECODE).build());
    assertThat(budget.available(NOW)).isEqualTo(RETRIES - 2);

    handle(new PlacementMessage.Withdraw(MODEL_SHARD, new RequestId("waiting"), 2, true));

    assertThat(budget.available(NOW)).isEqualTo(RETRIES);
  }

  /** Guards against retries that are used up by callers that leave before they are sent. */
  @Test
  void aRetryThatIsWithdrawnUnsentAfterItsGrantIsReturned() {
    place(request("a").after(PREFILL_AND_DECODE).build());

    handle(new PlacementMessage.Withdraw(MODEL_SHARD, new RequestId("a"), 2, true));

    assertThat(budget.available(NOW)).isEqualTo(RETRIES);
  }

  /** Guards against a retry that was sent and is not counted since its grant is withdrawn. */
  @Test
  void aRetryThatIsWithdrawnAndMayHaveBeenSentStaysCounted() {
    place(request("a").after(PREFILL_AND_DECODE).build());

    handle(new PlacementMessage.Withdraw(MODEL_SHARD, new RequestId("a"), 2, false));

    assertThat(budget.available(NOW)).isEqualTo(RETRIES - 2);
  }

  /**
   * Guards against a daemon that dies while its retries wait, and leaves them reserved for good.
   */
  @Test
  void theWaitingRetriesOfAFailedDaemonAreReturned() {
    for (int request = 0; request < 10; request++) {
      place(request("first-" + request).build());
    }
    PlacementRequest waiting =
        request("waiting").entry(OTHER_ENTRY).after(PREFILL_AND_DECODE).build();
    handle(OTHER_ENTRY, new PlacementMessage.Place(MODEL_SHARD, waiting, List.of()));

    coordinator.daemonFailed(OTHER_ENTRY, NOW);

    assertThat(budget.available(NOW)).isEqualTo(RETRIES);
  }

  /** Guards against an owner that dies, and a successor that does not count what it granted. */
  @Test
  void aRetryThatAnEarlierOwnerGrantedCountsAtItsSuccessor() {
    PlacementRequest request = request("a").after(PREFILL_AND_DECODE).build();
    Grant grant =
        new Grant(
            request.request(),
            2,
            GrantMode.DISAGGREGATED,
            Optional.of(new UpstreamName("prefill-0")),
            new UpstreamName("decode-0"),
            100,
            10);

    handle(
        new PlacementMessage.Restore(
            MODEL_SHARD, request, grant, AttemptPhase.GENERATING, List.of()));

    assertThat(budget.available(NOW)).isEqualTo(RETRIES - 2);
  }

  /** Guards against requests that earn retries at each owner that grants them. */
  @Test
  void aRequestEarnsNoRetriesWhereItsGrantIsWithdrawnUnused() {
    RetryBudget earning = new RetryBudget(new RetryLimits(1, 0, NOW));
    ShardCoordinator owner = owner(earning);
    for (int number = 0; number < 5; number++) {
      PlacementRequest request = request("first-" + number).build();
      owner.handle(ENTRY, new PlacementMessage.Place(MODEL_SHARD, request, List.of()), NOW);
      owner.handle(
          ENTRY, new PlacementMessage.Withdraw(MODEL_SHARD, request.request(), 1, true), NOW);
    }

    assertThat(earning.available(NOW + 1_000)).isZero();
  }

  /** Guards against a budget that never grows because requests are not counted at all. */
  @Test
  void aRequestEarnsRetriesOnceWhenItsEntryDaemonReportsOnIt() {
    RetryBudget earning = new RetryBudget(new RetryLimits(1, 0, NOW));
    ShardCoordinator owner = owner(earning);
    for (int number = 0; number < 5; number++) {
      PlacementRequest request = request("first-" + number).build();
      owner.handle(ENTRY, new PlacementMessage.Place(MODEL_SHARD, request, List.of()), NOW);
      for (AttemptPhase phase : List.of(AttemptPhase.PREFILLED, AttemptPhase.GENERATING)) {
        AttemptReport report =
            new AttemptReport(
                request.request(), 1, phase, Optional.empty(), Optional.empty(), 0, 0, 0);
        owner.handle(ENTRY, new PlacementMessage.Report(MODEL_SHARD, report, List.of()), NOW);
      }
    }

    assertThat(earning.available(NOW + 1_000)).isEqualTo(4);
  }

  private static ShardCoordinator owner(RetryBudget retries) {
    return new ShardCoordinator(
        MODEL_SHARD,
        PlacementFixtures.placer(PlacementFixtures.pool(3, 3, 10)),
        PlacementTimings.standard(),
        retries);
  }

  private static PlacementFixtures.RequestBuilder request(String name) {
    boolean isRetry = !name.startsWith("first");
    return PlacementFixtures.request(name).attempt(isRetry ? 2 : 1);
  }

  private List<PlacementMessage> place(PlacementRequest request) {
    return handle(new PlacementMessage.Place(MODEL_SHARD, request, List.of()));
  }

  private List<PlacementMessage> handle(PlacementMessage message) {
    return handle(ENTRY, message);
  }

  private List<PlacementMessage> handle(DaemonId from, PlacementMessage message) {
    return coordinator.handle(from, message, NOW).stream()
        .map(ShardCoordinator.Outgoing::message)
        .toList();
  }
}
