package org.marjoramsail.daemon.forward;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

final class BufferedBytesTest {

  private static final int MEGABYTE = 1 << 20;
  private static final int HEAP_BYTES = 112 * MEGABYTE;

  /** Guards against responses that are each within their bound and together fill the heap. */
  @Test
  void manyLargeResponsesTogetherStayBelowAQuarterOfTheHeap() {
    BufferedBytes buffered = new BufferedBytes();

    for (int response = 0; response < 100; response++) {
      BufferedBytes.Share share = buffered.open();
      while (share.add(MEGABYTE)) {
        assertThat(buffered.countedBytes()).isLessThan(HEAP_BYTES / 4);
      }
    }
  }

  @Test
  void aSmallResponseIsAcceptedBesideLargeOnesThatUseUpTheBound() {
    BufferedBytes buffered = new BufferedBytes();
    BufferedBytes.Share large = buffered.open();
    while (large.add(MEGABYTE)) {
      assertThat(buffered.countedBytes()).isPositive();
    }

    assertThat(buffered.open().add(1_000)).isTrue();
  }

  @Test
  void releasedResponsesMakeRoomForOthers() {
    BufferedBytes buffered = new BufferedBytes();
    List<BufferedBytes.Share> shares = new ArrayList<>();
    for (int response = 0; response < 24; response++) {
      BufferedBytes.Share share = buffered.open();
      shares.add(share);
      assertThat(share.add(MEGABYTE)).isTrue();
    }

    shares.forEach(BufferedBytes.Share::release);

    assertThat(buffered.countedBytes()).isZero();
    assertThat(buffered.open().add(8 * MEGABYTE)).isTrue();
  }
}
