package org.marjoramsail.daemon.request;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.marjoramsail.core.failure.Refusal;
import org.marjoramsail.core.model.RequestId;
import org.marjoramsail.core.model.UpstreamName;
import org.marjoramsail.core.outcome.LifecycleEvent;
import org.marjoramsail.core.outcome.RequestLifecycle;
import org.marjoramsail.core.outcome.RequestProfile;
import org.marjoramsail.core.time.Clock;
import org.marjoramsail.daemon.metrics.RequestMetrics;

/**
 * Registry of the requests whose callers are connected to this daemon, in shards with a lock each.
 *
 * <p>A request stays registered until it has ended and no upstream can hold resources for it.
 */
public final class RequestRegistry {

  private static final int SHARDS = 32;
  private static final int ENDED_PER_SHARD = 32;

  private static final class Shard {
    private final Map<RequestId, LiveRequest> live = new HashMap<>();
    private final Deque<RequestSnapshot> ended = new ArrayDeque<>();
  }

  private final RequestDependencies dependencies;
  private final LifecycleDependencies lifecycleDependencies;
  private final RequestMetrics metrics;
  private final RequestLog log;
  private final Clock clock;
  private final TaskScheduler scheduler;
  private final RandomGenerator random;
  private final List<Shard> shards;

  /**
   * Creates an empty registry.
   *
   * @param dependencies the services that requests call
   * @param lifecycleDependencies objects that all lifecycles use
   * @param metrics the metrics
   * @param log logs ended and refused requests
   * @param clock the clock
   * @param scheduler runs the timers of requests
   * @param random source of the jitter of back-off; has to be thread-safe
   */
  public RequestRegistry(
      RequestDependencies dependencies,
      LifecycleDependencies lifecycleDependencies,
      RequestMetrics metrics,
      RequestLog log,
      Clock clock,
      TaskScheduler scheduler,
      RandomGenerator random) {
    this.dependencies = dependencies;
    this.lifecycleDependencies = lifecycleDependencies;
    this.metrics = metrics;
    this.log = log;
    this.clock = clock;
    this.scheduler = scheduler;
    this.random = random;
    this.shards = IntStream.range(0, SHARDS).mapToObj(unused -> new Shard()).toList();
    metrics.registerRunning(this::size);
  }

  /** Registers and starts a request, whose output goes to its sink. */
  public RequestHandle register(NewRequest request) {
    RequestProfile profile = request.profile();
    Shard shard = shard(profile.id());
    LiveRequest live = createLiveRequest(request, shard);
    synchronized (shard) {
      shard.live.put(profile.id(), live);
    }
    metrics.accepted(profile);
    live.deliver(new LifecycleEvent.Started());
    return new Handle(live);
  }

  private LiveRequest createLiveRequest(NewRequest request, Shard shard) {
    RequestProfile profile = request.profile();
    RequestLifecycle lifecycle =
        new RequestLifecycle(
            profile,
            request.policy(),
            lifecycleDependencies.quarantine(),
            lifecycleDependencies.invariants(),
            random);
    ActionRunner runner =
        new ActionRunner(
            profile,
            request.sender(),
            request.claim(),
            request.sink(),
            dependencies,
            metrics,
            log,
            clock,
            request.perTokenTargetMillis());
    return new LiveRequest(
        shard,
        request.executor(),
        request.caller(),
        clock,
        scheduler,
        lifecycle,
        runner,
        lifecycleDependencies.sendReports(),
        () -> removeSettled(shard, request));
  }

  private void removeSettled(Shard shard, NewRequest request) {
    RequestProfile profile = request.profile();
    RequestSnapshot snapshot;
    synchronized (shard) {
      LiveRequest live = shard.live.remove(profile.id());
      if (live == null) {
        return;
      }
      snapshot = live.snapshot();
      if (shard.ended.size() == ENDED_PER_SHARD) {
        shard.ended.removeFirst();
      }
      shard.ended.addLast(snapshot);
    }
    Optional<LatencyViolation> violation = request.latencyTargets().violationOf(snapshot);
    violation.ifPresent(metrics::latencyViolated);
    log.ended(snapshot, violation);
  }

  /**
   * Notifies all requests that an upstream has restarted.
   *
   * @param endedAtMillis when its earlier incarnation had ended
   */
  public void upstreamRestarted(UpstreamName upstream, long endedAtMillis) {
    deliverToAll(new LifecycleEvent.UpstreamRestarted(upstream, endedAtMillis));
  }

  /** Notifies all requests that an upstream has restarted or was removed. */
  public void upstreamRestarted(UpstreamName upstream) {
    deliverToAll(new LifecycleEvent.UpstreamRestarted(upstream));
  }

  /** Ends all requests; their run state is that of each. */
  public void endAll(Refusal refusal) {
    deliverToAll(new LifecycleEvent.CallerEnded(refusal));
  }

  /** Ends the requests that have not started and that a condition selects. */
  public void refuseStarts(Predicate<RequestProfile> condition, Refusal refusal) {
    LifecycleEvent event = new LifecycleEvent.StartRefused(refusal);
    live()
        .filter(LiveRequest::isWaiting)
        .filter(live -> condition.test(live.profile()))
        .forEach(live -> live.deliver(event));
  }

  private void deliverToAll(LifecycleEvent event) {
    live().forEach(live -> live.deliver(event));
  }

  private Stream<LiveRequest> live() {
    return shards.stream()
        .flatMap(
            shard -> {
              synchronized (shard) {
                return List.copyOf(shard.live.values()).stream();
              }
            });
  }

  /** Returns the number of registered requests. */
  public int size() {
    int size = 0;
    for (Shard shard : shards) {
      synchronized (shard) {
        size += shard.live.size();
      }
    }
    return size;
  }

  /** Returns the state of a registered or recently ended request. */
  public Optional<RequestSnapshot> snapshot(RequestId id) {
    Shard shard = shard(id);
    synchronized (shard) {
      Optional<RequestSnapshot> live =
          Optional.ofNullable(shard.live.get(id)).map(LiveRequest::snapshot);
      return live.or(
          () -> shard.ended.stream().filter(snapshot -> snapshot.request().equals(id)).findFirst());
    }
  }

  /** Returns the states of all registered requests. */
  public List<RequestSnapshot> snapshots() {
    List<RequestSnapshot> snapshots = new ArrayList<>();
    for (Shard shard : shards) {
      synchronized (shard) {
        shard.live.values().forEach(live -> snapshots.add(live.snapshot()));
      }
    }
    return snapshots;
  }

  private Shard shard(RequestId id) {
    return shards.get(Math.floorMod(id.hashCode(), SHARDS));
  }

  private record Handle(LiveRequest live) implements RequestHandle {
    @Override
    public void callerDisconnected() {
      live.deliver(new LifecycleEvent.CallerDisconnected());
    }

    @Override
    public void end(Refusal refusal) {
      live.deliver(new LifecycleEvent.CallerEnded(refusal));
    }
  }
}
