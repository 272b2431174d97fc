package org.marjoramsail.core.placement;

import java.util.List;
import java.util.Map;
import org.marjoramsail.core.failure.RefusalReason;

/**
 * What an owner counted in one shard since it was last asked.
 *
 * @param rejections number of rejections by urgency and reason
 * @param completionErrorsMillis for each completed attempt whose grant had an estimate, the time
 *     from grant to completion minus the expected one; negative if it completed earlier
 */
public record ShardStatistics(
    Map<Rejection, Integer> rejections, List<Long> completionErrorsMillis) {

  /**
   * Kind of a rejection.
   *
   * @param urgency rank of the request; zero for the most urgent
   * @param reason why it was rejected
   */
  public record Rejection(int urgency, RefusalReason reason) {}

  /** Copies the collections. */
  public ShardStatistics {
    rejections = Map.copyOf(rejections);
    completionErrorsMillis = List.copyOf(completionErrorsMillis);
  }
}
