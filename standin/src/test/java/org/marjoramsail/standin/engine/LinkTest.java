package org.marjoramsail.standin.engine;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

final class LinkTest {

  private static final long BYTES_PER_SECOND = 1_000_000;

  private final Link link = new Link(BYTES_PER_SECOND);
  private final List<String> done = new ArrayList<>();

  @Test
  void aTransferTakesItsBytesAtTheRate() {
    link.begin(0, 5_000, () -> done.add("a"));

    link.advance(4_999);
    assertThat(done).isEmpty();
    link.advance(5_000);
    assertThat(done).containsExactly("a");
  }

  @Test
  void transfersShareTheRateAndTheRestSpeedsUpWhenOneEnds() {
    link.begin(0, 1_000, () -> done.add("short"));
    link.begin(0, 3_000, () -> done.add("long"));

    link.advance(2_000);
    assertThat(done).containsExactly("short");
    link.advance(3_999);
    assertThat(done).containsExactly("short");
    link.advance(4_000);
    assertThat(done).containsExactly("short", "long");
  }

  @Test
  void aCancelledTransferLeavesItsShareToTheOthers() {
    Link.Transfer cancelled = link.begin(0, 8_000, () -> done.add("cancelled"));
    link.begin(0, 2_000, () -> done.add("kept"));

    link.cancel(2_000, cancelled);
    link.advance(3_000);

    assertThat(done).containsExactly("kept");
    assertThat(link.activeCount()).isZero();
  }
}
