package org.marjoramsail.core.placement;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonInclude;
import java.util.List;
import java.util.Optional;
import org.marjoramsail.core.failure.Refusal;
import org.marjoramsail.core.feedback.RelayedFeedback;
import org.marjoramsail.core.message.PeerMessage;
import org.marjoramsail.core.model.RequestId;
import org.marjoramsail.core.model.SoftwareVersion;

/**
 * Message between an entry daemon and the owner of a shard.
 *
 * <p>Any message may be lost or delayed. The entry daemon repeats its attempts in {@link Holdings},
 * which repairs the loss of a message in either direction.
 *
 * <p>The names of the records and of their components are part of the wire format.
 */
public sealed interface PlacementMessage extends PeerMessage {

  /** Returns the shard that the message is about. */
  ShardId shard();

  /**
   * Returns the feedback of the shard's upstreams that the entry daemon relays to the owner.
   *
   * <p>It is part of each message that may lead to a grant, so that a new owner requires no state
   * of earlier owners: when it grants an upstream to a host, it has the feedback that this host
   * received. The list is usually empty and is then not encoded.
   */
  default List<RelayedFeedback> conditions() {
    return List.of();
  }

  /**
   * Entry daemon to owner: places an attempt; repeats have no effect.
   *
   * @param requiredVersion that of the request, which is encoded here since most requests have none
   * @param urgency that of the request, which is encoded here since most requests have rank zero
   * @param returned that of the request, which is encoded here since it is rarely true
   */
  record Place(
      ShardId shard,
      PlacementRequest request,
      @JsonInclude(JsonInclude.Include.NON_EMPTY) List<RelayedFeedback> conditions,
      Optional<SoftwareVersion> requiredVersion,
      @JsonInclude(JsonInclude.Include.NON_DEFAULT) int urgency,
      @JsonInclude(JsonInclude.Include.NON_DEFAULT) boolean returned)
      implements PlacementMessage {

    /** Copies the list, which is null where the encoded message has none. */
    public Place {
      conditions = orNone(conditions);
      request = withVersion(request, requiredVersion).withUrgency(urgency).withReturned(returned);
    }

    /** Creates the message for a request. */
    public Place(ShardId shard, PlacementRequest request, List<RelayedFeedback> conditions) {
      this(
          shard,
          request,
          conditions,
          request.requiredVersion(),
          request.urgency(),
          request.returned());
    }
  }

  /**
   * Entry daemon to owner: registers an attempt that another owner granted and that still holds its
   * upstreams.
   *
   * @param requiredVersion that of the request, which is encoded here since most requests have none
   * @param urgency that of the request, which is encoded here since most requests have rank zero
   * @param returned that of the request, which is encoded here since it is rarely true
   */
  record Restore(
      ShardId shard,
      PlacementRequest request,
      Grant grant,
      AttemptPhase phase,
      @JsonInclude(JsonInclude.Include.NON_EMPTY) List<RelayedFeedback> conditions,
      Optional<SoftwareVersion> requiredVersion,
      @JsonInclude(JsonInclude.Include.NON_DEFAULT) int urgency,
      @JsonInclude(JsonInclude.Include.NON_DEFAULT) boolean returned)
      implements PlacementMessage {

    /** Copies the list, which is null where the encoded message has none. */
    public Restore {
      conditions = orNone(conditions);
      request = withVersion(request, requiredVersion).withUrgency(urgency).withReturned(returned);
    }

    /** Creates the message for a request. */
    public Restore(
        ShardId shard,
        PlacementRequest request,
        Grant grant,
        AttemptPhase phase,
        List<RelayedFeedback> conditions) {
      this(
          shard,
          request,
          grant,
          phase,
          conditions,
          request.requiredVersion(),
          request.urgency(),
          request.returned());
    }
  }

  /** Entry daemon to owner: reports the progress or the end of a granted attempt. */
  record Report(
      ShardId shard,
      AttemptReport report,
      @JsonInclude(JsonInclude.Include.NON_EMPTY) List<RelayedFeedback> conditions)
      implements PlacementMessage {

    /** Copies the list, which is null where the encoded message has none. */
    public Report {
      conditions = orNone(conditions);
    }
  }

  /**
   * Entry daemon to owner: removes an attempt, whether it waits or was granted.
   *
   * @param unsent whether the entry daemon has sent no call of the attempt to an upstream, and will
   *     send none, so that nothing is charged for its grant
   */
  record Withdraw(
      ShardId shard,
      RequestId request,
      int attempt,
      @JsonInclude(JsonInclude.Include.NON_DEFAULT) boolean unsent)
      implements PlacementMessage {}

  /**
   * Entry daemon to owner: lists all attempts that the entry daemon has registered with this owner
   * in this shard.
   */
  record Holdings(ShardId shard, List<Holding> held) implements PlacementMessage {}

  /**
   * Owner to entry daemon: the attempt waits.
   *
   * @param returned whether the owner recognised its caller as one that has returned after a
   *     rejection; the entry daemon states it to the next owner
   */
  record Queued(
      ShardId shard,
      RequestId request,
      int attempt,
      @JsonInclude(JsonInclude.Include.NON_DEFAULT) boolean returned)
      implements PlacementMessage {

    /** Creates the message for an attempt whose caller was not recognised. */
    public Queued(ShardId shard, RequestId request, int attempt) {
      this(shard, request, attempt, false);
    }
  }

  /**
   * Owner to entry daemon: upstreams are reserved.
   *
   * @param estimate that of the grant, which is encoded here since most grants have none
   */
  record Granted(ShardId shard, Grant grant, Optional<GrantEstimate> estimate)
      implements PlacementMessage {

    /** Adds the estimate, which is null where the encoded message has none, to the grant. */
    public Granted {
      estimate = estimate == null ? Optional.empty() : estimate;
      grant = estimate.map(grant::withEstimate).orElse(grant);
    }

    /** Creates the message for a grant. */
    public Granted(ShardId shard, Grant grant) {
      this(shard, grant, grant.estimate());
    }
  }

  /** Owner to entry daemon: the attempt is rejected. */
  record Refused(ShardId shard, RequestId request, int attempt, Refusal refusal)
      implements PlacementMessage {}

  /**
   * Owner to entry daemon, in response to {@link Holdings}: lists the attempts that are not
   * registered here as described.
   */
  record Unknown(ShardId shard, List<Holding> unknown) implements PlacementMessage {}

  /**
   * An attempt that an entry daemon has registered with an owner.
   *
   * @param request the request
   * @param attempt the attempt
   * @param granted whether the entry daemon has received its grant
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record Holding(RequestId request, int attempt, boolean granted) {}

  private static PlacementRequest withVersion(
      PlacementRequest request, Optional<SoftwareVersion> version) {
    return version.map(request::continuing).orElse(request);
  }

  private static List<RelayedFeedback> orNone(List<RelayedFeedback> conditions) {
    return conditions == null ? List.of() : List.copyOf(conditions);
  }
}
