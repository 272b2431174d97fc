package org.marjoramsail.core.discovery;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.marjoramsail.core.discovery.StoreEpoch.Status;

/** Answers of a store that may come back from a copy, as they arrive. */
class StoreEpochTest {

  private final StoreEpoch epoch = new StoreEpoch();

  @Test
  void aStoreThatTellsOfNoEpochIsBelieved() {
    assertThat(epoch.received(OptionalLong.empty())).isEqualTo(Status.CURRENT);
    assertThat(epoch.newest()).isZero();
  }

  @Test
  void theFirstEpochThatIsHeardOfIsNoReturn() {
    assertThat(epoch.received(OptionalLong.of(7))).isEqualTo(Status.CURRENT);
    assertThat(epoch.received(OptionalLong.of(7))).isEqualTo(Status.CURRENT);
  }

  /** An answer that was made before the store came back arrives after one that was made since. */
  @Test
  void anAnswerThatWasOvertakenByTheNextEpochIsOver() {
    epoch.received(OptionalLong.of(7));
    assertThat(epoch.received(OptionalLong.of(8))).isEqualTo(Status.ADVANCED);

    assertThat(epoch.received(OptionalLong.of(7))).isEqualTo(Status.OUTDATED);
    assertThat(epoch.received(OptionalLong.empty())).isEqualTo(Status.OUTDATED);
    assertThat(epoch.received(OptionalLong.of(8))).isEqualTo(Status.CURRENT);
    assertThat(epoch.newest()).isEqualTo(8);
  }
}
