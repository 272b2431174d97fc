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
 * Asks upstreams for their load: each at its interval with jitter, at most one question under way
 * for each, and at once where a call was cut.
 *
 * <p>Which upstreams are polled is asked anew each time, so that a daemon polls only those whose
 * shards it owns.
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
   * Creates an instance with all that it needs; asks nobody yet.
   *
   * @param vertx for its timer
   * @param engines calls model engines
   * @param plainServices calls plain services
   * @param polledUpstreams which upstreams to poll now
   * @param pollInterval how often
   * @param clock tells the time
   * @param random for the jitter
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

  /** Starts to poll; the observer comes here, since it may need what needs this poller. */
  public synchronized void start(UpstreamObserver statusObserver) {
    observer = Optional.of(statusObserver);
    timer = vertx.setPeriodic(TICK_MILLIS, fired -> pollDue());
  }

  /** Stops to poll. */
  public synchronized void stop() {
    if (timer != NO_TIMER) {
      vertx.cancelTimer(timer);
      timer = NO_TIMER;
    }
  }

  /** Asks all that are due; called by its own timer. */
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

  /** Spreads the first polls over the interval. */
  private void scheduleFirstPoll(UpstreamName name, long nowMillis, long intervalMillis) {
    dueAtMillis.computeIfAbsent(name, unused -> nowMillis + random.nextLong(intervalMillis));
  }

  private long jittered(long intervalMillis) {
    return intervalMillis + random.nextLong(pollInterval.jitterMillis() + 1);
  }

  /** Asks one upstream now, for instance since a call to it was cut; nothing before the start. */
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
