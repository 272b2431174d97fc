package org.marjoramsail.core.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.marjoramsail.core.failure.RefusalReason;
import org.marjoramsail.core.placement.ShardStatistics.Rejection;

/** Collects the statistics of one shard until they are taken. */
final class StatisticsRecorder {

  /** Limits the memory of an owner whose statistics are not taken. */
  private static final int MAXIMUM_ERRORS = 1_000;

  private final Map<Rejection, Integer> rejections = new HashMap<>();
  private final List<Long> completionErrorsMillis = new ArrayList<>();

  void rejected(int urgency, RefusalReason reason) {
    rejections.merge(new Rejection(urgency, reason), 1, Integer::sum);
  }

  /** Records the completion of an attempt some time after its grant. */
  void completed(Grant grant, long tookMillis) {
    if (completionErrorsMillis.size() < MAXIMUM_ERRORS) {
      grant
          .estimate()
          .ifPresent(
              estimate -> completionErrorsMillis.add(tookMillis - estimate.completionMillis()));
    }
  }

  /** Returns and clears what was collected. */
  ShardStatistics take() {
    ShardStatistics taken = new ShardStatistics(rejections, completionErrorsMillis);
    rejections.clear();
    completionErrorsMillis.clear();
    return taken;
  }
}
