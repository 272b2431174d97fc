package org.marjoramsail.core.placement;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/**
 * Guards against prefill engines that are idle while requests wait for the memory of decode
 * engines.
 */
class RoleBalanceTest {

  private static final double PREFILL_RATE = 9 / 1_000.0;
  private static final double DECODE_RATE = 2.2 / 1_000.0;

  @Test
  void idlePrefillEnginesAreBetterUsedForDecoding() {
    assertThat(bestPrefillCount(10, 4, PREFILL_RATE, DECODE_RATE)).isEqualTo(2);
  }

  @Test
  void aBalancedPoolIsNotChanged() {
    assertThat(bestPrefillCount(10, 2, PREFILL_RATE, DECODE_RATE)).isEqualTo(2);
    assertThat(bestPrefillCount(6, 2, PREFILL_RATE, 3.2 / 1_000)).isEqualTo(2);
  }

  @Test
  void aPoolWithTooFewPrefillEnginesGetsMore() {
    assertThat(bestPrefillCount(10, 1, PREFILL_RATE, 2 * DECODE_RATE)).isEqualTo(3);
  }

  /**
   * Guards against engines that change back and forth because estimated prefill times rise after a
   * burst.
   */
  @Test
  void aDecodeEngineIsNotMovedForASmallGain() {
    assertThat(bestPrefillCount(10, 2, PREFILL_RATE * 0.7, DECODE_RATE)).isEqualTo(2);
  }

  @Test
  void aChangeWithASmallGainIsNotMade() {
    assertThat(bestPrefillCount(20, 5, PREFILL_RATE, DECODE_RATE)).isEqualTo(5);
    assertThat(bestPrefillCount(30, 6, PREFILL_RATE, DECODE_RATE)).isEqualTo(6);
  }

  @Test
  void atLeastOneEnginePrefillsAndOneDecodes() {
    assertThat(bestPrefillCount(2, 1, PREFILL_RATE, DECODE_RATE)).isEqualTo(1);
  }

  /** Local prefill on decode engines serves more here than a second prefill engine does. */
  @Test
  void promptsBeyondThePrefillCapacityAreLocallyPrefilled() {
    RoleBalance.Rates rates = new RoleBalance.Rates(10.7, 10.7 / 2, 3.28);

    assertThat(rates.ofPool(6, 1)).isBetween(14.0, 14.4);
    assertThat(rates.ofPool(6, 2)).isBetween(13.0, 13.2);
    assertThat(rates.ofPool(6, 0)).isBetween(12.1, 12.3);
  }

  private static int bestPrefillCount(
      int engines, int prefillCount, double prefillRate, double decodeRate) {
    return RoleBalance.bestPrefillCount(
        engines, prefillCount, new RoleBalance.Rates(prefillRate, 0, decodeRate));
  }
}
