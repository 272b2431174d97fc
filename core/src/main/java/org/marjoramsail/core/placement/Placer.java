package org.marjoramsail.core.placement;

import java.util.List;
import java.util.Optional;
import org.marjoramsail.core.configuration.Configuration;
import org.marjoramsail.core.feedback.RelayedFeedback;
import org.marjoramsail.core.model.DaemonId;
import org.marjoramsail.core.model.RequestId;
import org.marjoramsail.core.model.UpstreamName;

/**
 * Chooses upstreams for the requests of one shard.
 *
 * <p>Each instance serves one shard and is called under the lock of that shard. Each call takes the
 * current time and returns the decisions that follow from it, for the given request or for others.
 * The reserving placer and the baseline policies implement this interface, so that they can be
 * compared under the same load.
 */
public interface Placer {

  /**
   * Applies the upstreams of the shard and the limits of organisations from a newer configuration.
   */
  List<PlacementResult> configure(Configuration configuration, long nowMillis);

  /** Queues or places one attempt; placing the same attempt again reserves nothing more. */
  List<PlacementResult> place(PlacementRequest request, long nowMillis);

  /**
   * Registers an attempt that another owner granted, so that its slots are counted here.
   *
   * @param phase the progress of the attempt
   */
  List<PlacementResult> restore(
      PlacementRequest request, Grant grant, AttemptPhase phase, long nowMillis);

  /**
   * Records the progress or the end of a granted attempt; reports of unknown attempts are ignored.
   */
  List<PlacementResult> report(AttemptReport report, long nowMillis);

  /**
   * Returns to the limits of an organisation what the grant of an attempt took from them, since no
   * call of it was sent; the attempt is withdrawn afterwards.
   */
  default void refund(RequestId request, long nowMillis) {}

  /** Removes a waiting or granted request, whose result is no longer required. */
  List<PlacementResult> withdraw(RequestId request, long nowMillis);

  /** Records a load report of an upstream. */
  List<PlacementResult> load(LoadReport report, long nowMillis);

  /**
   * Records feedback that an upstream sent with a response to a host.
   *
   * @param from the daemon on that host
   */
  default List<PlacementResult> acceptFeedback(
      RelayedFeedback condition, DaemonId from, long nowMillis) {
    return List.of();
  }

  /** Returns the upstream feedback accepted since the last call. */
  default List<AcceptedFeedback> takeAcceptedFeedback() {
    return List.of();
  }

  /** Records whether an upstream is available, whatever the source of this information. */
  List<PlacementResult> availability(UpstreamName upstream, boolean available, long nowMillis);

  /** Releases the waiting and granted attempts of a daemon that has failed. */
  List<PlacementResult> daemonFailed(DaemonId daemon, long nowMillis);

  /**
   * Records that a daemon that was declared failed is running, so that its requests are accepted
   * again. Policies that do not store failed daemons ignore this.
   */
  default void daemonRecovered(DaemonId daemon) {}

  /** Runs time-dependent work; called every few milliseconds. */
  List<PlacementResult> tick(long nowMillis);

  /** Returns a recommended change of an engine's role, if the policy manages roles. */
  default Optional<RoleChange> recommendedRoleChange(long nowMillis) {
    return Optional.empty();
  }

  /**
   * Returns whether an attempt waits, so that frequent ticks are required; true where that is not
   * known.
   */
  default boolean isWaiting() {
    return true;
  }

  /** Returns the views of the upstreams, for metrics. */
  default List<ShardView.UpstreamView> upstreamViews(long nowMillis) {
    return view(nowMillis).upstreams();
  }

  /** Returns the running and waiting attempts, for operators. */
  ShardView view(long nowMillis);

  /**
   * Returns whether a waiting request is that of a caller that has returned after a rejection;
   * false where callers are not recognised.
   */
  default boolean hasReturned(RequestId request) {
    return false;
  }

  /** Returns whether a request waits or runs here; false where that is not known. */
  default boolean holds(RequestId request) {
    return false;
  }
}
