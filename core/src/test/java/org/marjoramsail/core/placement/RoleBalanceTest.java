package org.marjoramsail.core.placement;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/**
 * Ten engines, four of which read prompts: at the peak requests waited for memory of the other six
 * while reading was idle for most of the time.
 */
class RoleBalanceTest {

  private static final double READS = 9 / 1_000.0;
  private static final double ENDS = 2.2 / 1_000.0;

  @Test
  void readersThatAreIdleAreOfMoreUseGenerating() {
    assertThat(bestReaders(10, 4, READS, ENDS)).isEqualTo(2);
  }

  @Test
  void aBalancedPoolIsLeftAlone() {
    assertThat(bestReaders(10, 2, READS, ENDS)).isEqualTo(2);
    assertThat(bestReaders(6, 2, READS, 3.2 / 1_000)).isEqualTo(2);
  }

  @Test
  void tooFewReadersGetHelp() {
    assertThat(bestReaders(10, 1, READS, 2 * ENDS)).isEqualTo(3);
  }

  /** After a burst the times of reading look longer than they are; an engine went to and fro. */
  @Test
  void enginesThatGenerateAreNotTakenOutForALittle() {
    assertThat(bestReaders(10, 2, READS * 0.7, ENDS)).isEqualTo(2);
  }

  @Test
  void aChangeThatBringsLittleIsNotMade() {
    assertThat(bestReaders(20, 5, READS, ENDS)).isEqualTo(5);
    assertThat(bestReaders(30, 6, READS, ENDS)).isEqualTo(6);
  }

  @Test
  void atLeastOneEngineReadsAndOneGenerates() {
    assertThat(bestReaders(2, 1, READS, ENDS)).isEqualTo(1);
  }

  /**
   * One reader of six kept up with twelve prompts a second before five engines with memory for
   * sixteen answers. Engines that read what it cannot serve fourteen; a second reader only
   * thirteen.
   */
  @Test
  void whatReadersLeaveIsReadBesideAnswers() {
    RoleBalance.Rates rates = new RoleBalance.Rates(10.7, 10.7 / 2, 3.28);

    assertThat(rates.ofPool(6, 1)).isBetween(14.0, 14.4);
    assertThat(rates.ofPool(6, 2)).isBetween(13.0, 13.2);
    assertThat(rates.ofPool(6, 0)).isBetween(12.1, 12.3);
  }

  private static int bestReaders(int engines, int reading, double reads, double ends) {
    return RoleBalance.bestReaders(engines, reading, new RoleBalance.Rates(reads, 0, ends));
  }
}
