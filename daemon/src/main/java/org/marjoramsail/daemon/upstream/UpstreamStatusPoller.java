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

  private static final long LOOK_MILLIS = 50;
  private static final long NO_TIMER = -1;

  private final Vertx vertx;
  private final EngineClient engines;
  private final PlainClient plainServices;
  private final Supplier<List<UpstreamDefinition>> polled;
  private final PollInterval pollInterval;
  private final Clock clock;
  private final RandomGenerator random;
  private final Map<UpstreamName, Long> dueAtMillis = new HashMap<>();
  private final Map<UpstreamName, UpstreamDefinition> underWay = new HashMap<>();
  private Optional<UpstreamObserver> observer = Optional.empty();
  private long timer = NO_TIMER;

  /**
   * Creates an instance with all that it needs; asks nobody yet.
   *
   * @param vertx for its timer
   * @param engines calls model engines
   * @param plainServices calls plain services
   * @param polled which upstreams to poll now
   * @param pollInterval how often
   * @param clock tells the time
   * @param random for the jitter
   */
  public UpstreamStatusPoller(
      Vertx vertx,
      EngineClient engines,
      PlainClient plainServices,
      Supplier<List<UpstreamDefinition>> polled,
      PollInterval pollInterval,
      Clock clock,
      RandomGenerator random) {
    this.vertx = vertx;
    this.engines = engines;
    this.plainServices = plainServices;
    this.polled = polled;
    this.pollInterval = pollInterval;
    this.clock = clock;
    this.random = random;
  }

  /** Starts to poll; the observer comes here, since it may need what needs this poller. */
  public synchronized void start(UpstreamObserver hearing) {
    observer = Optional.of(hearing);
    timer = vertx.setPeriodic(LOOK_MILLIS, fired -> pollDue());
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
    List<UpstreamDefinition> all = polled.get();
    long nowMillis = clock.millis();
    long intervalMillis = pollInterval.intervalMillis(all.size());
    List<UpstreamDefinition> due;
    synchronized (this) {
      dueAtMillis.keySet().retainAll(all.stream().map(UpstreamDefinition::name).toList());
      all.forEach(one -> spread(one.name(), nowMillis, intervalMillis));
      due = all.stream().filter(one -> dueAtMillis.get(one.name()) <= nowMillis).toList();
      due.forEach(one -> dueAtMillis.put(one.name(), nowMillis + jittered(intervalMillis)));
    }
    due.forEach(this::poll);
  }

  /** Spreads the first polls over the interval. */
  private void spread(UpstreamName name, long nowMillis, long intervalMillis) {
    dueAtMillis.computeIfAbsent(name, unused -> nowMillis + random.nextLong(intervalMillis));
  }

  private long jittered(long intervalMillis) {
    return intervalMillis + random.nextLong(pollInterval.jitterMillis() + 1);
  }

  /** Asks one upstream now, for instance since a call to it was cut; nothing before the start. */
  public void poll(UpstreamDefinition definition) {
    Optional<UpstreamObserver> hearing;
    synchronized (this) {
      hearing = observer;
      if (hearing.isEmpty() || underWay.putIfAbsent(definition.name(), definition) != null) {
        return;
      }
    }
    ask(definition, hearing.get(), clock.millis());
  }

  private void ask(UpstreamDefinition definition, UpstreamObserver hearing, long askedAtMillis) {
    status(definition)
        .onComplete(done -> ended(definition.name()))
        .onSuccess(
            status -> {
              hearing.load(status.loadReport(definition), askedAtMillis);
              hearing.status(definition, status);
            })
        .onFailure(
            cause ->
                hearing.unreachable(
                    definition.name(), UpstreamCallException.isConnectionRefused(cause)));
  }

  private synchronized void ended(UpstreamName name) {
    underWay.remove(name);
  }

  private Future<UpstreamStatus> status(UpstreamDefinition definition) {
    UpstreamEndpoint endpoint = UpstreamEndpoint.of(definition);
    return definition.role() == UpstreamRole.PLAIN
        ? plainServices.status(endpoint)
        : engines.status(endpoint);
  }
}
