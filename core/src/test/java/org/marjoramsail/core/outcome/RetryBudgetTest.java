package org.marjoramsail.core.outcome;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

final class RetryBudgetTest {

  private static final int RESERVE = 20;
  private static final int MAXIMUM_TRIES = 6;

  /** Guards against retries that multiply the load while all upstreams of a service fail. */
  @Test
  void retriesInAnOutageAddAtMostATenthOfTheLoadAndTheReserve() {
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

  /** When an upstream crashes, all its requests need a retry at once. */
  @Test
  void theReserveCoversTheRequestsOfOneUpstreamAndNotMore() {
    RetryBudget budget = new RetryBudget(RESERVE);

    for (int request = 0; request < RESERVE; request++) {
      assertThat(budget.trySpend()).isTrue();
    }
    assertThat(budget.trySpend()).isFalse();
  }

  /** Guards against retries that are saved up without a bound and used all at once. */
  @Test
  void aLongTimeWithoutRetriesSavesUpNoMoreThanTheReserve() {
    RetryBudget budget = new RetryBudget(RESERVE);
    for (int request = 0; request < 100_000; request++) {
      budget.earn();
    }

    assertThat(budget.available()).isEqualTo(RESERVE);
  }

  /**
   * Guards against restarts in sequence that renew each daemon's reserve, so that the fleet exceeds
   * its slack.
   */
  @Test
  void aFleetThatIsRestartedInAnOutageStaysWithinItsSlack() {
    double slack = 54;
    int daemons = 7;
    int retries = 0;
    for (int daemon = 0; daemon < daemons; daemon++) {
      retries += spendAll(withFullReserve(RetryBudget.shareOfFleet(0.2, slack, daemons)));
      retries += spendAll(RetryBudget.shareOfFleet(0.2, slack, daemons));
    }

    assertThat(retries).isPositive().isLessThanOrEqualTo((int) slack);
  }

  @Test
  void aDaemonWithoutKnownPeersUsesAtMostASixthOfHalfTheSlack() {
    assertThat(spendAll(withFullReserve(RetryBudget.shareOfFleet(0.2, 54, 1)))).isEqualTo(4);
  }

  private static RetryBudget withFullReserve(RetryBudget budget) {
    for (int request = 0; request < 1_000; request++) {
      budget.earn();
    }
    return budget;
  }

  private static int spendAll(RetryBudget budget) {
    int spent = 0;
    while (budget.trySpend()) {
      spent++;
    }
    return spent;
  }
}
