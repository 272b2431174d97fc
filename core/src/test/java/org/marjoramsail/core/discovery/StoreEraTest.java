package org.marjoramsail.core.discovery;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.marjoramsail.core.discovery.StoreEra.Verdict;

/** Answers of a store that may come back from a copy, as they arrive. */
class StoreEraTest {

  private final StoreEra era = new StoreEra();

  @Test
  void aStoreThatTellsOfNoEraIsBelieved() {
    assertThat(era.heard(OptionalLong.empty())).isEqualTo(Verdict.CURRENT);
    assertThat(era.newest()).isZero();
  }

  @Test
  void theFirstEraThatIsHeardOfIsNoReturn() {
    assertThat(era.heard(OptionalLong.of(7))).isEqualTo(Verdict.CURRENT);
    assertThat(era.heard(OptionalLong.of(7))).isEqualTo(Verdict.CURRENT);
  }

  /** An answer that was made before the store came back arrives after one that was made since. */
  @Test
  void anAnswerThatWasOvertakenByTheNextEraIsOver() {
    era.heard(OptionalLong.of(7));
    assertThat(era.heard(OptionalLong.of(8))).isEqualTo(Verdict.RISEN);

    assertThat(era.heard(OptionalLong.of(7))).isEqualTo(Verdict.OVER);
    assertThat(era.heard(OptionalLong.empty())).isEqualTo(Verdict.OVER);
    assertThat(era.heard(OptionalLong.of(8))).isEqualTo(Verdict.CURRENT);
    assertThat(era.newest()).isEqualTo(8);
  }
}
