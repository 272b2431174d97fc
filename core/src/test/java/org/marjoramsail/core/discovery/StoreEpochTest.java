package org.marjoramsail.core.discovery;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.marjoramsail.core.discovery.StoreEpoch.Status;

/** Tests responses of a store that may be restored from a backup. */
class StoreEpochTest {

  private final StoreEpoch epoch = new StoreEpoch();

  @Test
  void responsesOfAStoreWithoutEpochsAreCurrent() {
    assertThat(epoch.received(OptionalLong.empty())).isEqualTo(Status.CURRENT);
    assertThat(epoch.newest()).isZero();
  }

  @Test
  void theFirstEpochIsCurrent() {
    assertThat(epoch.received(OptionalLong.of(7))).isEqualTo(Status.CURRENT);
    assertThat(epoch.received(OptionalLong.of(7))).isEqualTo(Status.CURRENT);
  }

  /** Guards against a response from before a restore that arrives after one from since then. */
  @Test
  void aResponseOfAnEarlierEpochIsOutdated() {
    epoch.received(OptionalLong.of(7));
    assertThat(epoch.received(OptionalLong.of(8))).isEqualTo(Status.ADVANCED);

    assertThat(epoch.received(OptionalLong.of(7))).isEqualTo(Status.OUTDATED);
    assertThat(epoch.received(OptionalLong.empty())).isEqualTo(Status.OUTDATED);
    assertThat(epoch.received(OptionalLong.of(8))).isEqualTo(Status.CURRENT);
    assertThat(epoch.newest()).isEqualTo(8);
  }
}
