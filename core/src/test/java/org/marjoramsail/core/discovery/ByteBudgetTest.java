package org.marjoramsail.core.discovery;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class ByteBudgetTest {

  private final ByteBudget budget = new ByteBudget(10_000, 50_000, 0);

  @Test
  void aTransferThatExceedsTheBudgetDelaysTheNextOne() {
    assertThat(budget.isAvailable(0)).isTrue();
    budget.spend(350_000, 0);

    assertThat(budget.isAvailable(30_000)).isFalse();
    assertThat(budget.isAvailable(30_001)).isTrue();
  }

  @Test
  void smallTransfersAreNotDelayed() {
    for (int second = 0; second < 100; second++) {
      assertThat(budget.isAvailable(second * 1_000L)).isTrue();
      budget.spend(9_000, second * 1_000L);
    }
  }

  /** Guards against a long pause that allows any number of transfers after it. */
  @Test
  void aPauseEarnsNoMoreThanTheMaximum() {
    long afterPause = 1_000_000;
    assertThat(budget.isAvailable(afterPause)).isTrue();
    budget.spend(50_000, afterPause);

    assertThat(budget.isAvailable(afterPause)).isFalse();
  }
}
