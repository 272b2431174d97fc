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

  /**
   * Seven daemons were restarted in turn while a service failed. Each handed out its reserve of
   * before and a new one after it, and the fleet made more retries than it may.
   */
  @Test
  void aFleetThatIsRestartedInAnOutageStaysWithinItsSlack() {
    double slack = 54;
    int daemons = 7;
    int retries = 0;
    for (int daemon = 0; daemon < daemons; daemon++) {
      retries += spendAll(savedUp(RetryBudget.shareOfFleet(0.2, slack, daemons)));
      retries += spendAll(RetryBudget.shareOfFleet(0.2, slack, daemons));
    }

    assertThat(retries).isPositive().isLessThanOrEqualTo((int) slack);
  }

  @Test
  void aDaemonThatKnowsOfNoOtherTakesNoMoreThanASixthOfHalfTheSlack() {
    assertThat(spendAll(savedUp(RetryBudget.shareOfFleet(0.2, 54, 1)))).isEqualTo(4);
  }

  private static RetryBudget savedUp(RetryBudget budget) {
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
