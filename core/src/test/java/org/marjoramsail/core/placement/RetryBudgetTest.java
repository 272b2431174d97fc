package org.marjoramsail.core.placement;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

final class RetryBudgetTest {

  private static final RetryLimits LIMITS = new RetryLimits(0.2, 54, 10_000);
  private static final int HALF_OF_THE_SLACK = 27;
  private static final int MAXIMUM_TRIES = 6;

  /** Guards against retries that multiply the load while all upstreams of a service fail. */
  @Test
  void retriesInAnOutageStayWithinTheRatioAndTheSlack() {
    RetryBudget budget = settledBudget();
    int requests = 10_000;
    int retries = 0;
    for (int request = 0; request < requests; request++) {
      budget.requestStarted(20_000 + request);
      for (int attempt = 1; attempt < MAXIMUM_TRIES && tryRetry(budget, 20_000 + request); ) {
        attempt++;
        retries++;
      }
    }

    assertThat(retries).isBetween(requests / 10, requests / 5 + HALF_OF_THE_SLACK);
  }

  /** When an upstream crashes at a quiet time, all its requests need a retry at once. */
  @Test
  void theSlackCoversTheRequestsOfOneUpstreamAndNotMore() {
    RetryBudget budget = settledBudget();

    assertThat(retryAll(budget, 20_000)).isEqualTo(HALF_OF_THE_SLACK);
  }

  /** Guards against a predecessor's slack that a new owner spends again in the same window. */
  @Test
  void aNewOwnerUsesNoSlackBeforeItHasRankedFirstForAWholeWindow() {
    RetryBudget budget = new RetryBudget(LIMITS);
    budget.slackShare(1, 0);

    assertThat(retryAll(budget, 9_999)).isZero();
    assertThat(retryAll(budget, 10_000)).isEqualTo(HALF_OF_THE_SLACK);
  }

  /** Guards against daemons that rank first by turns and use the slack each time. */
  @Test
  void anOwnerThatDidNotRankFirstInBetweenWaitsForAWholeWindowAgain() {
    RetryBudget budget = settledBudget();
    budget.slackShare(0, 20_000);
    budget.slackShare(1, 20_001);

    assertThat(retryAll(budget, 30_000)).isZero();
    assertThat(retryAll(budget, 30_001)).isEqualTo(HALF_OF_THE_SLACK);
  }

  @Test
  void onlyTheShareOfTheSlackIsUsed() {
    RetryBudget budget = new RetryBudget(LIMITS);
    budget.slackShare(0.5, 0);

    assertThat(retryAll(budget, 20_000)).isEqualTo(HALF_OF_THE_SLACK / 2);
  }

  /** Guards against retries that are saved up without a bound and used all at once. */
  @Test
  void aLongTimeWithoutRetriesSavesUpNoMoreThanAWindowAndTheSlack() {
    RetryBudget budget = settledBudget();
    int requestsInAWindow = 1_000;
    for (int request = 0; request < 100 * requestsInAWindow; request++) {
      budget.requestStarted(20_000 + request * 10L);
    }

    assertThat(retryAll(budget, 20_000 + 100 * 10_000))
        .isBetween(requestsInAWindow / 10, requestsInAWindow / 5 + HALF_OF_THE_SLACK);
  }

  /** Guards against restarts in sequence, each of which renews what the fleet may spend. */
  @Test
  void ownersThatRestartInSequenceMakeNoMoreRetriesThanOneOwner() {
    int requests = 0;
    int retries = retryAll(settledBudget(), 20_000);
    for (int owner = 0; owner < 100; owner++) {
      RetryBudget budget = new RetryBudget(LIMITS);
      budget.slackShare(1, 20_000 + owner * 100L);
      for (int request = 0; request < 10; request++) {
        requests++;
        budget.requestStarted(20_000 + owner * 100L);
        retries += retryAll(budget, 20_000 + owner * 100L);
      }
    }

    assertThat(retries).isPositive().isLessThanOrEqualTo(requests / 5 + HALF_OF_THE_SLACK);
  }

  /** Guards against first attempts that are refused once the requests of a peak have expired. */
  @Test
  void anAttemptThatRepeatsNothingIsNeverRefused() {
    RetryBudget budget = new RetryBudget(LIMITS);
    for (int request = 0; request < 1_000; request++) {
      budget.requestStarted(0);
    }
    retryAll(budget, 9_000);

    assertThat(budget.available(11_000)).isNegative();
    assertThat(budget.tryReserve(0, 11_000)).isTrue();
  }

  /** Guards against a returned retry that adds to the windows after the one it was counted in. */
  @Test
  void retriesThatAreReturnedCountInNoWindow() {
    RetryBudget budget = settledBudget();
    budget.retriesGranted(5, 20_000);

    budget.retriesReturned(5, 20_000, 29_000);

    assertThat(budget.available(29_000)).isEqualTo(HALF_OF_THE_SLACK);
    assertThat(budget.available(31_000)).isEqualTo(HALF_OF_THE_SLACK);
  }

  /** Guards against a budget that exceeds the slack since a retry is returned late. */
  @Test
  void retriesThatAreReturnedAfterTheirWindowChangeNothing() {
    RetryBudget budget = settledBudget();
    budget.retriesGranted(5, 20_000);

    budget.retriesReturned(5, 20_000, 31_000);

    assertThat(budget.available(31_000)).isEqualTo(HALF_OF_THE_SLACK);
  }

  /** Guards against retries that are lost to attempts that find no upstream. */
  @Test
  void reservedRetriesThatAreNotGrantedAreReturned() {
    RetryBudget budget = settledBudget();
    assertThat(budget.tryReserve(HALF_OF_THE_SLACK, 20_000)).isTrue();
    assertThat(budget.tryReserve(1, 20_000)).isFalse();

    budget.release(HALF_OF_THE_SLACK);

    assertThat(budget.available(20_000)).isEqualTo(HALF_OF_THE_SLACK);
  }

  /** Returns the budget of an owner that has ranked first for longer than a window. */
  private static RetryBudget settledBudget() {
    RetryBudget budget = new RetryBudget(LIMITS);
    budget.slackShare(1, 0);
    return budget;
  }

  private static int retryAll(RetryBudget budget, long nowMillis) {
    int retries = 0;
    while (tryRetry(budget, nowMillis)) {
      retries++;
    }
    return retries;
  }

  private static boolean tryRetry(RetryBudget budget, long nowMillis) {
    if (!budget.tryReserve(1, nowMillis)) {
      return false;
    }
    budget.release(1);
    budget.retriesGranted(1, nowMillis);
    return true;
  }
}
