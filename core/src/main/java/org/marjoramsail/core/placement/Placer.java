package org.marjoramsail.core.placement;

import java.util.List;
import java.util.Optional;
import org.marjoramsail.core.configuration.Configuration;
import org.marjoramsail.core.feedback.RelayedFeedback;
import org.marjoramsail.core.model.DaemonId;
import org.marjoramsail.core.model.RequestId;
import org.marjoramsail.core.model.UpstreamName;

/**
 * Decides upstreams for the requests of one shard.
 *
 * <p>One instance has one shard and is called under that shard's lock. Each call takes the time and
 * gives what it decided, for the called request or for others. The baselines and the reserving
 * placer all have this face, so that they serve the same load.
 */
public interface Placer {

  /** Handles the shard's upstreams and the organisations' limits from a newer configuration. */
  List<PlacementResult> configure(Configuration configuration, long nowMillis);

  /** Queues or decides one attempt; the same attempt again replaces nothing. */
  List<PlacementResult> place(PlacementRequest request, long nowMillis);

  /**
   * Takes over an attempt that another owner granted, so that its slots count here.
   *
   * @param phase how far it has come
   */
  List<PlacementResult> restore(
      PlacementRequest request, Grant grant, AttemptPhase phase, long nowMillis);

  /** Takes progress or the end of a granted attempt; unknown attempts are dropped and counted. */
  List<PlacementResult> report(AttemptReport report, long nowMillis);

  /** Forgets a request that waits or was granted, because its caller is gone. */
  List<PlacementResult> withdraw(RequestId request, long nowMillis);

  /** Handles what an upstream says of its load. */
  List<PlacementResult> load(LoadReport report, long nowMillis);

  /**
   * Handles what an upstream said of itself in an answer to a host.
   *
   * @param from the host
   */
  default List<PlacementResult> acceptFeedback(
      RelayedFeedback condition, DaemonId from, long nowMillis) {
    return List.of();
  }

  /** What has come to be believed of upstreams by their own words since this was last asked. */
  default List<AcceptedFeedback> takeAcceptedFeedback() {
    return List.of();
  }

  /** Records that an upstream is leaving or unreachable, however that was learned, or is back. */
  List<PlacementResult> availability(UpstreamName upstream, boolean available, long nowMillis);

  /** Drops all that a dead daemon had waiting or granted. */
  List<PlacementResult> daemonFailed(DaemonId daemon, long nowMillis);

  /**
   * Records that a daemon lives that was said to be dead: what it asks for counts again. A policy
   * that remembers no dead daemons has nothing to do.
   */
  default void daemonRecovered(DaemonId daemon) {}

  /** Does what time has made due; called every few milliseconds. */
  List<PlacementResult> tick(long nowMillis);

  /** An engine that should change its role, if the policy looks after roles. */
  default Optional<RoleChange> recommendedRoleChange(long nowMillis) {
    return Optional.empty();
  }

  /** Whether an attempt waits, so that ticks have to come often; true where that is not known. */
  default boolean isWaiting() {
    return true;
  }

  /** What runs and what waits here, for operators. */
  ShardView view(long nowMillis);

  /** Whether a request waits or runs here; false where that is not known. */
  default boolean holds(RequestId request) {
    return false;
  }
}
