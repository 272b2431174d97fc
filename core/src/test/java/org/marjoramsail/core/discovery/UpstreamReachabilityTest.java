package org.marjoramsail.core.discovery;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.marjoramsail.core.model.UpstreamName;

final class UpstreamReachabilityTest {

  private static final int UPSTREAMS = 5;

  private final UpstreamReachability reachability = new UpstreamReachability();

  @Test
  void aDaemonIsCutOffOnceThreeUpstreamsHaveFailedInARow() {
    fail("a", 1);
    fail("a", 2);
    fail("b", 3);
    assertThat(reachability.isCutOff()).isFalse();
    assertThat(reachability.isInDoubt()).isTrue();

    fail("c", 4);

    assertThat(reachability.isCutOff()).isTrue();
    reachability.connected(5);
    assertThat(reachability.isCutOff()).isFalse();
  }

  /** Guards against time-outs that were requested before the paths were restored. */
  @Test
  void aFailureOfAConnectionThatWasRequestedBeforeASuccessfulOneSaysNothing() {
    reachability.connected(10);

    fail("a", 9);
    fail("b", 9);
    fail("c", 9);

    assertThat(reachability.isInDoubt()).isFalse();
    assertThat(reachability.isCutOff()).isFalse();
  }

  @Test
  void allUpstreamsHaveToFailWhereThereAreFewerThanThree() {
    reachability.failed(new UpstreamName("a"), 1, 2);
    assertThat(reachability.isCutOff()).isFalse();

    reachability.failed(new UpstreamName("b"), 1, 2);

    assertThat(reachability.isCutOff()).isTrue();
  }

  private void fail(String upstream, long startedAtMillis) {
    reachability.failed(new UpstreamName(upstream), startedAtMillis, UPSTREAMS);
  }
}
