package org.marjoramsail.core.placement;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.marjoramsail.core.feedback.LoadPosition;
import org.marjoramsail.core.feedback.RelayedFeedback;
import org.marjoramsail.core.feedback.UpstreamFeedbackTable;
import org.marjoramsail.core.model.DaemonId;

/** Selects the feedback of upstreams that an entry daemon relays with a message to an owner. */
final class FeedbackRelay {

  /** Exceeds the age up to which a load is relayed. */
  private static final long RETENTION_MILLIS = 2_000;

  private record Recipient(DaemonId owner, ShardId shard) {}

  private final ShardDirectory directory;
  private final UpstreamFeedbackTable feedback;
  private final Map<Recipient, LoadPosition> positions = new HashMap<>();

  FeedbackRelay(ShardDirectory directory, UpstreamFeedbackTable feedback) {
    this.directory = directory;
    this.feedback = feedback;
  }

  /**
   * Returns the feedback for the next message to an owner: each load that it has not been sent yet.
   */
  List<RelayedFeedback> next(DaemonId owner, ShardId shard, long nowMillis) {
    Recipient recipient = new Recipient(owner, shard);
    LoadPosition position = positions.getOrDefault(recipient, new LoadPosition());
    List<RelayedFeedback> next =
        feedback.toRelay(directory.upstreamsOf(shard), position, nowMillis);
    if (!position.isInitial()) {
      positions.put(recipient, position);
    }
    return next;
  }

  /** Removes owners to which no message was sent for so long that all loads have expired. */
  void removeExpired(long nowMillis) {
    positions
        .values()
        .removeIf(position -> nowMillis - position.advancedAtMillis() > RETENTION_MILLIS);
  }
}
