package org.marjoramsail.core.order;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class LeaseTimesTest {

  @Test
  void aLeaseThatIsLongEnoughKeepsItsTimes() {
    assertThat(LeaseTimes.quick().withDurationAtLeast(3_000)).isEqualTo(LeaseTimes.quick());
  }

  /**
   * Guards against a successor that sends orders before the minimum duration required by the
   * platform has passed, while orders of the former holder are still valid.
   */
  @Test
  void aLeaseLastsAsLongAsThePlatformRequires() {
    LeaseTimes times = LeaseTimes.quick().withDurationAtLeast(20_000.5);

    assertThat(times.durationMillis()).isGreaterThanOrEqualTo(20_001);
    assertThat(times.actingMillis()).isLessThan(times.durationMillis() * 3 / 4);
    assertThat(times.renewalMillis()).isLessThan(times.actingMillis());
  }
}
