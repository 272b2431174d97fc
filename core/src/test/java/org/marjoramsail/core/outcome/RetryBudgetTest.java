package org.marjoramsail.core.outcome;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

final class RetryBudgetTest {

  private static final int RESERVE = 20;
  private static final int MAXIMUM_TRIES = 6;

  /**
   * All upstreams of a service fail for minutes. Each request would come six times, and upstreams
   * that come back are pushed over again by what the router itself has added.
   */
  @Test
  void retriesAddAtMostATenthOfTheLoadAndTheReserveInAnOutage() {
    RetryBudget budget = new RetryBudget(RESERVE);
    int requests = 10_000;
    int retries = 0;
    for (int request = 0; request < requests; request++) {
      budget.earn();
      for (int attempt = 1; attempt < MAXIMUM_TRIES && budget.trySpend(); attempt++) {
        retries++;
      }
    }

    assertThat(retries).isBetween(requests / 10, requests / 10 + RESERVE);
  }

  /** An upstream crashes with all that it ran; each of its requests needs a retry at once. */
  @Test
  void theReserveCoversWhatOneUpstreamHoldsAndNotMore() {
    RetryBudget budget = new RetryBudget(RESERVE);

    for (int request = 0; request < RESERVE; request++) {
      assertThat(budget.trySpend()).isTrue();
    }
    assertThat(budget.trySpend()).isFalse();
  }

  /** A quiet night saves up retries without a bound, and the morning's outage spends them all. */
  @Test
  void aLongCalmSavesUpNoMoreThanTheReserve() {
    RetryBudget budget = new RetryBudget(RESERVE);
    for (int request = 0; request < 100_000; request++) {
      budget.earn();
    }

    assertThat(budget.available()).isEqualTo(RESERVE);
  }
}
