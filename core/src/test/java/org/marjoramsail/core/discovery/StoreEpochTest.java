package org.marjoramsail.core.discovery;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.marjoramsail.core.discovery.StoreEpoch.Verdict;

/** Answers of a store that may come back from a copy, as they arrive. */
class StoreEpochTest {

  private final StoreEpoch epoch = new StoreEpoch();

  @Test
  void aStoreThatTellsOfNoEpochIsBelieved() {
    assertThat(epoch.heard(OptionalLong.empty())).isEqualTo(Verdict.CURRENT);
    assertThat(epoch.newest()).isZero();
  }

  @Test
  void theFirstEpochThatIsHeardOfIsNoReturn() {
    assertThat(epoch.heard(OptionalLong.of(7))).isEqualTo(Verdict.CURRENT);
    assertThat(epoch.heard(OptionalLong.of(7))).isEqualTo(Verdict.CURRENT);
  }

  /** An answer that was made before the store came back arrives after one that was made since. */
  @Test
  void anAnswerThatWasOvertakenByTheNextEpochIsOver() {
    epoch.heard(OptionalLong.of(7));
    assertThat(epoch.heard(OptionalLong.of(8))).isEqualTo(Verdict.RISEN);

    assertThat(epoch.heard(OptionalLong.of(7))).isEqualTo(Verdict.OVER);
    assertThat(epoch.heard(OptionalLong.empty())).isEqualTo(Verdict.OVER);
    assertThat(epoch.heard(OptionalLong.of(8))).isEqualTo(Verdict.CURRENT);
    assertThat(epoch.newest()).isEqualTo(8);
  }
}
