package org.marjoramsail.core.order;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class LeaseTimesTest {

  @Test
  void aLeaseThatIsLongEnoughKeepsItsTimes() {
    assertThat(LeaseTimes.quick().withDurationAtLeast(3_000)).isEqualTo(LeaseTimes.quick());
  }

  /**
   * A platform asked that holders of orders are 20 s apart. A successor that waited out only the
   * usual 12 s would have given orders while those of the holder before it still counted.
   */
  @Test
  void aLeaseLastsAsLongAsThePlatformRequires() {
    LeaseTimes times = LeaseTimes.quick().withDurationAtLeast(20_000.5);

    assertThat(times.durationMillis()).isGreaterThanOrEqualTo(20_001);
    assertThat(times.actingMillis()).isLessThan(times.durationMillis() * 3 / 4);
    assertThat(times.renewalMillis()).isLessThan(times.actingMillis());
  }
}
