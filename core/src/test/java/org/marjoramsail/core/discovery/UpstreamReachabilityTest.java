package org.marjoramsail.core.discovery;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.marjoramsail.core.model.UpstreamName;

final class UpstreamReachabilityTest {

  private static final UpstreamName A = new UpstreamName("a");
  private static final UpstreamName B = new UpstreamName("b");
  private static final UpstreamName C = new UpstreamName("c");
  private static final UpstreamName D = new UpstreamName("d");
  private static final long SILENT_MILLIS = 1_000;

  private final UpstreamReachability reachability = new UpstreamReachability();

  @BeforeEach
  void defineUpstreams() {
    reachability.retainOnly(List.of(A, B, C, D));
  }

  @Test
  void anUpstreamIsNotReachedFromAFailedConnectionToOneThatSucceeds() {
    assertThat(reachability.failed(A, 1)).isTrue();
    assertThat(reachability.failed(A, 2)).isFalse();
    assertThat(reachability.isReached(A)).isFalse();
    assertThat(reachability.isReached(B)).isTrue();

    assertThat(reachability.connected(A, 3, 4)).isTrue();

    assertThat(reachability.isReached(A)).isTrue();
  }

  @Test
  void aDaemonIsCutOffOnceThreeUpstreamsHaveFailedInARowAndNoneSendsAnything() {
    reachability.received(1);
    reachability.failed(A, 2);
    reachability.failed(A, 3);
    reachability.failed(B, 4);
    assertThat(reachability.isCutOff(SILENT_MILLIS)).isFalse();

    reachability.failed(C, 5);

    assertThat(reachability.isCutOff(6)).isFalse();
    assertThat(reachability.isCutOff(SILENT_MILLIS)).isTrue();
    reachability.connected(D, 7, 8);
    assertThat(reachability.isCutOff(2 * SILENT_MILLIS)).isFalse();
  }

  /** Guards against time-outs that were requested before the paths were restored. */
  @Test
  void aFailureOfAConnectionThatWasRequestedBeforeASuccessfulOneSaysNothing() {
    reachability.connected(A, 10, 11);

    assertThat(reachability.failed(A, 9)).isFalse();

    assertThat(reachability.isReached(A)).isTrue();
  }

  @Test
  void allUpstreamsHaveToFailWhereThereAreFewerThanThree() {
    reachability.retainOnly(List.of(A, B));
    reachability.failed(A, 1);
    assertThat(reachability.isCutOff(SILENT_MILLIS)).isFalse();

    reachability.failed(B, 2);

    assertThat(reachability.isCutOff(SILENT_MILLIS)).isTrue();
  }
}
