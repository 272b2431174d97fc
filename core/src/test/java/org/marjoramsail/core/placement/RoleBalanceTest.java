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
    assertThat(RoleBalance.bestReaders(10, 4, READS, ENDS)).isEqualTo(2);
  }

  @Test
  void aBalancedPoolIsLeftAlone() {
    assertThat(RoleBalance.bestReaders(10, 2, READS, ENDS)).isEqualTo(2);
    assertThat(RoleBalance.bestReaders(6, 2, READS, 3.2 / 1_000)).isEqualTo(2);
  }

  @Test
  void tooFewReadersGetHelp() {
    assertThat(RoleBalance.bestReaders(10, 1, READS, 2 * ENDS)).isEqualTo(3);
  }

  /** After a burst the times of reading look longer than they are; an engine went to and fro. */
  @Test
  void enginesThatGenerateAreNotTakenOutForALittle() {
    assertThat(RoleBalance.bestReaders(10, 2, READS * 0.7, ENDS)).isEqualTo(2);
  }

  @Test
  void aChangeThatBringsLittleIsNotMade() {
    assertThat(RoleBalance.bestReaders(20, 5, READS, ENDS)).isEqualTo(5);
    assertThat(RoleBalance.bestReaders(30, 6, READS, ENDS)).isEqualTo(6);
  }

  @Test
  void atLeastOneEngineReadsAndOneGenerates() {
    assertThat(RoleBalance.bestReaders(2, 1, READS, ENDS)).isEqualTo(1);
  }
}
