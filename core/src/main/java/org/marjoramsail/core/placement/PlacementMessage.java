package org.marjoramsail.core.placement;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonInclude;
import java.util.List;
import org.marjoramsail.core.failure.Refusal;
import org.marjoramsail.core.feedback.RelayedFeedback;
import org.marjoramsail.core.message.PeerMessage;
import org.marjoramsail.core.model.RequestId;

/**
 * What entry daemons and owners of shards say to each other.
 *
 * <p>Any of these may be lost or come late. The entry repeats what it holds in {@link Holdings};
 * that repairs a lost message of either side.
 */
public sealed interface PlacementMessage extends PeerMessage {

  /** The shard that it is about. */
  ShardId shard();

  /**
   * What the entry has heard from upstreams of the shard that the owner has to know.
   *
   * <p>It goes with each message that may lead to a grant, so that an owner needs no memory of
   * owners before it: whatever it grants to a host, it knows what that host was told. Mostly it is
   * nothing, and then takes no bytes.
   */
  default List<RelayedFeedback> conditions() {
    return List.of();
  }

  /** Entry to owner: place this attempt; saying it again changes nothing. */
  record Place(
      ShardId shard,
      PlacementRequest request,
      @JsonInclude(JsonInclude.Include.NON_EMPTY) List<RelayedFeedback> conditions)
      implements PlacementMessage {

    /** Copies the list, which is absent where it is empty. */
    public Place {
      conditions = orNone(conditions);
    }
  }

  /** Entry to owner: another owner granted this attempt, which still holds its upstreams. */
  record Restore(
      ShardId shard,
      PlacementRequest request,
      Grant grant,
      AttemptPhase phase,
      @JsonInclude(JsonInclude.Include.NON_EMPTY) List<RelayedFeedback> conditions)
      implements PlacementMessage {

    /** Copies the list, which is absent where it is empty. */
    public Restore {
      conditions = orNone(conditions);
    }
  }

  /** Entry to owner: the progress or the end of a granted attempt. */
  record Report(
      ShardId shard,
      AttemptReport report,
      @JsonInclude(JsonInclude.Include.NON_EMPTY) List<RelayedFeedback> conditions)
      implements PlacementMessage {

    /** Copies the list, which is absent where it is empty. */
    public Report {
      conditions = orNone(conditions);
    }
  }

  /** Entry to owner: forget this attempt, whether it waits or was granted. */
  record Withdraw(ShardId shard, RequestId request, int attempt) implements PlacementMessage {}

  /** Entry to owner: all that the entry has with this owner in this shard. */
  record Holdings(ShardId shard, List<Holding> held) implements PlacementMessage {}

  /** Owner to entry: the attempt waits. */
  record Queued(ShardId shard, RequestId request, int attempt) implements PlacementMessage {}

  /** Owner to entry: upstreams are reserved. */
  record Granted(ShardId shard, Grant grant) implements PlacementMessage {}

  /** Owner to entry: the attempt gets no upstreams and was sent to none. */
  record Refused(ShardId shard, RequestId request, int attempt, Refusal refusal)
      implements PlacementMessage {}

  /** Owner to entry, answering {@link Holdings}: these it does not know. */
  record Unknown(ShardId shard, List<Holding> unknown) implements PlacementMessage {}

  /**
   * One attempt that an entry has with an owner.
   *
   * @param request the request
   * @param attempt the attempt
   * @param granted whether the entry knows of its grant
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record Holding(RequestId request, int attempt, boolean granted) {}

  private static List<RelayedFeedback> orNone(List<RelayedFeedback> conditions) {
    return conditions == null ? List.of() : List.copyOf(conditions);
  }
}
