package org.marjoramsail.standin.network;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class LinkStandInTest {

  /** Retransmissions are due 200, 600, 1,400, 3,000 and 6,200 ms after the first transmission. */
  @ParameterizedTest
  @CsvSource({"0, 200", "200, 0", "201, 399", "1400, 0", "3001, 3199", "6200, 0"})
  void heldBytesAreDeliveredWithTheNextRetransmission(long heldMillis, long delayMillis) {
    assertThat(LinkStandIn.retransmissionDelayMillis(heldMillis)).isEqualTo(delayMillis);
  }
}
