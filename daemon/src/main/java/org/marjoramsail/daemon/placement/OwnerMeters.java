package org.marjoramsail.daemon.placement;

import io.micrometer.core.instrument.DistributionSummary;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.MultiGauge;
import io.micrometer.core.instrument.Tags;
import java.util.ArrayList;
import java.util.List;
import java.util.function.ToDoubleFunction;
import org.marjoramsail.core.feedback.RelayedFeedback;
import org.marjoramsail.core.placement.ShardStatistics;
import org.marjoramsail.core.placement.ShardView;

/** Meters of the shards that this daemon owns. */
final class OwnerMeters {

  private static final String PREFIX = "marjoramsail.placement.";

  /** Upper bounds of the buckets for errors of the expected completion, in milliseconds. */
  private static final double[] ERROR_BOUNDS_MILLIS = {10, 30, 100, 300, 1_000, 3_000, 10_000};

  private final MeterRegistry meters;
  private final DistributionSummary slowdowns;
  private final DistributionSummary early;
  private final DistributionSummary late;
  private final MultiGauge speed;
  private final MultiGauge slowdown;
  private final MultiGauge outstanding;
  private final MultiGauge memory;
  private final MultiGauge plannedMemory;

  OwnerMeters(MeterRegistry meters) {
    this.meters = meters;
    this.slowdowns = meters.summary("marjoramsail.upstream.slowdown");
    this.early = completionError("early");
    this.late = completionError("late");
    this.speed = upstreamGauge("speed");
    this.slowdown = upstreamGauge("slowdown.percent");
    this.outstanding = upstreamGauge("outstanding.millis");
    this.memory = upstreamGauge("memory.tokens");
    this.plannedMemory = upstreamGauge("memory.planned.tokens");
  }

  private DistributionSummary completionError(String direction) {
    return DistributionSummary.builder(PREFIX + "completion.error.millis")
        .tag("direction", direction)
        .serviceLevelObjectives(ERROR_BOUNDS_MILLIS)
        .register(meters);
  }

  private MultiGauge upstreamGauge(String value) {
    return MultiGauge.builder(PREFIX + "upstream." + value).register(meters);
  }

  /** Records the slowdown that an entry daemon relayed, if it relayed one. */
  void relayed(RelayedFeedback feedback) {
    feedback
        .load()
        .ifPresent(load -> load.slowdownPercent().ifPresent(percent -> slowdowns.record(percent)));
  }

  /** Adds what was counted in one shard. */
  void add(ShardStatistics statistics) {
    statistics
        .rejections()
        .forEach(
            (rejection, count) ->
                meters
                    .counter(
                        PREFIX + "rejections",
                        "urgency",
                        Integer.toString(rejection.urgency()),
                        "reason",
                        rejection.reason().code())
                    .increment(count));
    for (long error : statistics.completionErrorsMillis()) {
      (error < 0 ? early : late).record((double) Math.abs(error));
    }
  }

  /** Replaces the values of all upstreams of owned shards. */
  void show(List<ShardView.UpstreamView> upstreams) {
    speed.register(rows(upstreams, ShardView.UpstreamView::speed), true);
    slowdown.register(rows(upstreams, ShardView.UpstreamView::slowdownPercent), true);
    outstanding.register(rows(upstreams, ShardView.UpstreamView::outstandingMillis), true);
    memory.register(rows(upstreams, ShardView.UpstreamView::memoryTokens), true);
    plannedMemory.register(rows(upstreams, ShardView.UpstreamView::plannedTokens), true);
  }

  private static List<MultiGauge.Row<?>> rows(
      List<ShardView.UpstreamView> upstreams, ToDoubleFunction<ShardView.UpstreamView> value) {
    List<MultiGauge.Row<?>> rows = new ArrayList<>(upstreams.size());
    for (ShardView.UpstreamView upstream : upstreams) {
      Tags tags = Tags.of("upstream", upstream.name().value());
      rows.add(MultiGauge.Row.of(tags, value.applyAsDouble(upstream)));
    }
    return rows;
  }
}
