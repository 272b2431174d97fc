package org.marjoramsail.daemon.placement;

import static org.assertj.core.api.Assertions.assertThat;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.marjoramsail.core.failure.RefusalReason;
import org.marjoramsail.core.model.UpstreamName;
import org.marjoramsail.core.model.UpstreamRole;
import org.marjoramsail.core.placement.ShardStatistics;
import org.marjoramsail.core.placement.ShardView;

/** Tests the meters of an owner. */
final class OwnerMetersTest {

  private final SimpleMeterRegistry registry = new SimpleMeterRegistry();
  private final OwnerMeters meters = new OwnerMeters(registry);

  @Test
  void rejectionsAndErrorsOfExpectedCompletionsAreAdded() {
    ShardStatistics statistics =
        new ShardStatistics(
            Map.of(new ShardStatistics.Rejection(1, RefusalReason.DEADLINE_UNREACHABLE), 3),
            List.of(-200L, 100L, 50L));
    meters.add(statistics);
    meters.add(statistics);

    assertThat(
            registry
                .get("marjoramsail.placement.rejections")
                .tags("urgency", "1", "reason", "deadline-unreachable")
                .counter()
                .count())
        .isEqualTo(6);
    assertThat(errors("early")).isEqualTo(2);
    assertThat(errors("late")).isEqualTo(4);
  }

  /** Guards against gauges of upstreams that no longer exist or that another daemon owns. */
  @Test
  void gaugesOfUpstreamsThatAreNoLongerOwnedEnd() {
    meters.show(List.of(upstream("decode-0", 0.5, 250, 900), upstream("decode-1", 1.2, 100, 0)));
    assertThat(gauge("slowdown.percent", "decode-0")).isEqualTo(250);
    assertThat(gauge("speed", "decode-1")).isEqualTo(1.2);
    assertThat(gauge("outstanding.millis", "decode-0")).isEqualTo(900);

    meters.show(List.of(upstream("decode-1", 1.1, 120, 40)));

    assertThat(gauge("speed", "decode-1")).isEqualTo(1.1);
    assertThat(
            registry
                .find("marjoramsail.placement.upstream.speed")
                .tag("upstream", "decode-0")
                .gauge())
        .isNull();
  }

  private long errors(String direction) {
    return registry
        .get("marjoramsail.placement.completion.error.millis")
        .tag("direction", direction)
        .summary()
        .count();
  }

  private double gauge(String value, String upstream) {
    return registry
        .get("marjoramsail.placement.upstream." + value)
        .tag("upstream", upstream)
        .gauge()
        .value();
  }

  private static ShardView.UpstreamView upstream(
      String name, double speed, int slowdownPercent, long outstandingMillis) {
    return new ShardView.UpstreamView(
        new UpstreamName(name),
        UpstreamRole.DECODE,
        "a",
        12,
        3,
        3,
        true,
        "available",
        0,
        speed,
        slowdownPercent,
        outstandingMillis,
        0,
        0);
  }
}
