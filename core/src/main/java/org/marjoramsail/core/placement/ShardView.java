package org.marjoramsail.core.placement;

import java.util.List;
import java.util.Optional;
import org.marjoramsail.core.model.DaemonId;
import org.marjoramsail.core.model.RequestId;
import org.marjoramsail.core.model.ServiceClass;
import org.marjoramsail.core.model.UpstreamName;
import org.marjoramsail.core.model.UpstreamRole;

/**
 * Snapshot of one shard for operators.
 *
 * @param shard the shard
 * @param upstreams its upstreams
 * @param running attempts that hold slots
 * @param waiting waiting attempts, in order of service
 * @param organisations usage of each organisation in the shard
 */
public record ShardView(
    ShardId shard,
    List<UpstreamView> upstreams,
    List<RunningView> running,
    List<WaitingView> waiting,
    List<OrganisationView> organisations) {

  /**
   * Snapshot of one upstream of the shard.
   *
   * @param name its name
   * @param role its role
   * @param availabilityZone its availability zone
   * @param slots maximum number of concurrent requests
   * @param reserved slots reserved by this owner
   * @param reportedRunning running requests in its last load report
   * @param available whether it gets new requests
   * @param state one of available, leaving, drained, ejected, slow-start, unreachable, and limited
   *     for a rate limit that it reported itself
   * @param cachedBlocks prefix blocks that the index holds for it
   * @param speed its learned speed relative to the upstreams of its role: 1 is the mean, 2 twice as
   *     fast
   * @param slowdownPercent how long work takes on its machine now, in percent of the usual time
   * @param outstandingMillis expected work of the requests that hold its slots, in milliseconds on
   *     an upstream of speed 1
   * @param memoryTokens size of its memory; zero if it is unknown
   * @param plannedTokens predicted peak of the memory of the requests that hold its slots
   */
  public record UpstreamView(
      UpstreamName name,
      UpstreamRole role,
      String availabilityZone,
      int slots,
      int reserved,
      int reportedRunning,
      boolean available,
      String state,
      int cachedBlocks,
      double speed,
      int slowdownPercent,
      long outstandingMillis,
      int memoryTokens,
      int plannedTokens) {}

  /**
   * Attempt that holds slots.
   *
   * @param request the request
   * @param attempt number of the attempt
   * @param organisation organisation of the caller
   * @param entry daemon that received the request
   * @param phase phase that the attempt has reached
   * @param prefill prefill upstream, if there is one
   * @param target upstream that generates the output or sends the response
   * @param runningMillis time since the grant
   * @param memoryTokens memory of the target at the end of the output, at most
   */
  public record RunningView(
      RequestId request,
      int attempt,
      String organisation,
      DaemonId entry,
      AttemptPhase phase,
      Optional<UpstreamName> prefill,
      UpstreamName target,
      long runningMillis,
      int memoryTokens) {}

  /**
   * Attempt that waits in the queue.
   *
   * @param request the request
   * @param organisation organisation of the caller
   * @param entry daemon that received the request
   * @param rule rule that matched the request
   * @param serviceClass urgency
   * @param place position in the queue, from one
   * @param waitedMillis time since arrival
   * @param missing code of the resource that it waits for: decode-slot, engine-memory,
   *     prefill-capacity, link, organisation-concurrency, organisation-rate, plain-slot or upstream
   * @param estimatedWaitMillis estimated remaining wait
   * @param memoryTokens memory of an engine that it needs at the end of its output, at most
   */
  public record WaitingView(
      RequestId request,
      String organisation,
      DaemonId entry,
      String rule,
      ServiceClass serviceClass,
      int place,
      long waitedMillis,
      String missing,
      long estimatedWaitMillis,
      int memoryTokens) {}

  /**
   * Usage of one organisation.
   *
   * @param organisation its name
   * @param running attempts that hold slots
   * @param waiting attempts that wait
   * @param requestsPerSecond requests started here, averaged over the last seconds
   * @param tokensPerSecond tokens used here, averaged over the last seconds
   */
  public record OrganisationView(
      String organisation,
      int running,
      int waiting,
      double requestsPerSecond,
      double tokensPerSecond) {}
}
