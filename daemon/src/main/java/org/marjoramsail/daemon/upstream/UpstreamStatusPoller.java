package org.marjoramsail.daemon.upstream;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.marjoramsail.core.configuration.UpstreamDefinition;
import org.marjoramsail.core.model.UpstreamName;
import org.marjoramsail.core.model.UpstreamRole;
import org.marjoramsail.core.time.Clock;

/**
 * Polls the status of upstreams: each at an interval with jitter, with at most one poll in flight
 * for each, and at once after an interrupted call.
 *
 * <p>The list of upstreams is evaluated at each tick, so that a daemon polls only the upstreams
 * that it has to watch at the time.
 */
public final class UpstreamStatusPoller {

  private static final long TICK_MILLIS = 50;
  private static final long NO_TIMER = -1;

  private final Vertx vertx;
  private final EngineClient engines;
  private final PlainClient plainServices;
  private final Supplier<List<UpstreamDefinition>> polledUpstreams;
  private final PollInterval pollInterval;
  private final Clock clock;
  private final RandomGenerator random;
  private final Map<UpstreamName, Long> dueAtMillis = new HashMap<>();
  private final Map<UpstreamName, UpstreamDefinition> inFlight = new HashMap<>();
  private Optional<UpstreamObserver> observer = Optional.empty();
  private long timer = NO_TIMER;

  /**
   * Creates a poller that is not started.
   *
   * @param vertx runs the timer
   * @param engines calls model engines
   * @param plainServices calls plain services
   * @param polledUpstreams returns the upstreams to poll at the time
   * @param pollInterval interval of the polls
   * @param clock provides the current time
   * @param random source of the jitter
   */
  public UpstreamStatusPoller(
      Vertx vertx,
      EngineClient engines,
      PlainClient plainServices,
      Supplier<List<UpstreamDefinition>> polledUpstreams,
      PollInterval pollInterval,
      Clock clock,
      RandomGenerator random) {
    this.vertx = vertx;
    this.engines = engines;
    this.plainServices = plainServices;
    this.polledUpstreams = polledUpstreams;
    this.pollInterval = pollInterval;
    this.clock = clock;
    this.random = random;
  }

  /** Starts to poll. The observer is passed here since it may depend on users of this poller. */
  public synchronized void start(UpstreamObserver statusObserver) {
    observer = Optional.of(statusObserver);
    timer = vertx.setPeriodic(TICK_MILLIS, fired -> pollDue());
  }

  /** Stops polling. */
  public synchronized void stop() {
    if (timer != NO_TIMER) {
      vertx.cancelTimer(timer);
      timer = NO_TIMER;
    }
  }

  /** Polls all upstreams that are due; called by the timer. */
  void pollDue() {
    List<UpstreamDefinition> upstreams = polledUpstreams.get();
    long nowMillis = clock.millis();
    long intervalMillis = pollInterval.intervalMillis(upstreams.size());
    List<UpstreamDefinition> due;
    synchronized (this) {
      dueAtMillis.keySet().retainAll(upstreams.stream().map(UpstreamDefinition::name).toList());
      upstreams.forEach(upstream -> scheduleFirstPoll(upstream.name(), nowMillis, intervalMillis));
      due =
          upstreams.stream()
              .filter(upstream -> dueAtMillis.get(upstream.name()) <= nowMillis)
              .toList();
      due.forEach(
          upstream -> dueAtMillis.put(upstream.name(), nowMillis + jittered(intervalMillis)));
    }
    due.forEach(this::poll);
  }

  /** Schedules the first poll of an upstream at a random time within the interval. */
  private void scheduleFirstPoll(UpstreamName name, long nowMillis, long intervalMillis) {
    dueAtMillis.computeIfAbsent(name, unused -> nowMillis + random.nextLong(intervalMillis));
  }

  private long jittered(long intervalMillis) {
    return intervalMillis + random.nextLong(pollInterval.jitterMillis() + 1);
  }

  /** Polls one upstream now, for instance after an interrupted call; no effect before the start. */
  public void poll(UpstreamDefinition definition) {
    Optional<UpstreamObserver> currentObserver;
    synchronized (this) {
      currentObserver = observer;
      if (currentObserver.isEmpty()
          || inFlight.putIfAbsent(definition.name(), definition) != null) {
        return;
      }
    }
    requestStatus(definition, currentObserver.get(), clock.millis());
  }

  private void requestStatus(
      UpstreamDefinition definition, UpstreamObserver statusObserver, long requestedAtMillis) {
    status(definition)
        .onComplete(result -> requestEnded(definition.name()))
        .onSuccess(
            status -> {
              statusObserver.load(status.loadReport(definition), requestedAtMillis);
              statusObserver.status(definition, status);
            })
        .onFailure(
            cause ->
                statusObserver.unreachable(
                    definition.name(), UpstreamCallException.isConnectionRefused(cause)));
  }

  private synchronized void requestEnded(UpstreamName name) {
    inFlight.remove(name);
  }

  private Future<UpstreamStatus> status(UpstreamDefinition definition) {
    UpstreamEndpoint endpoint = UpstreamEndpoint.of(definition);
    return definition.role() == UpstreamRole.PLAIN
        ? plainServices.status(endpoint)
        : engines.status(endpoint);
  }
}
