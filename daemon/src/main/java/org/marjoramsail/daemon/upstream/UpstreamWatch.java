package org.marjoramsail.daemon.upstream;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.Arrays;
import java.util.Collection;
import java.util.HashSet;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.random.RandomGenerator;
import org.marjoramsail.core.configuration.UpstreamDefinition;
import org.marjoramsail.core.model.UpstreamName;
import org.marjoramsail.core.model.UpstreamRole;
import org.marjoramsail.core.placement.CacheEvent;
import org.marjoramsail.core.time.Clock;

/**
 * Asks upstreams how they are, some times a second each.
 *
 * <p>Only the owner of an upstream's shard watches it, so that the calls grow with the upstreams
 * and not with the daemons. At most one question to an upstream is under way.
 */
public final class UpstreamWatch {

  /** How many questions in a row have to fail before an upstream counts as unreachable. */
  private static final int FAILURES_TO_UNREACHABLE = 2;

  /** Cache events are hints; they are asked for once in so many rounds. */
  private static final int ROUNDS_PER_CACHE_QUESTION = 2;

  private static final class Watched {
    private boolean asking;
    private int failures;
    private int rounds;
    private long cacheIncarnation;
    private long nextCacheEvent;
  }

  private final Vertx vertx;
  private final EngineClient engines;
  private final PlainClient plainServices;
  private final WatchedUpstreams upstreams;
  private final UpstreamListener listener;
  private final Clock clock;
  private final RandomGenerator random;
  private final long intervalMillis;
  private final Map<UpstreamName, Watched> states = new ConcurrentHashMap<>();
  private volatile boolean stopped;

  /**
   * Asks nobody yet.
   *
   * @param intervalMillis how long between two questions to one upstream; each round is drawn
   *     between three and five quarters of it, so that daemons do not ask in step
   */
  public UpstreamWatch(
      Vertx vertx,
      EngineClient engines,
      PlainClient plainServices,
      WatchedUpstreams upstreams,
      UpstreamListener listener,
      Clock clock,
      RandomGenerator random,
      long intervalMillis) {
    this.vertx = vertx;
    this.engines = engines;
    this.plainServices = plainServices;
    this.upstreams = upstreams;
    this.listener = listener;
    this.clock = clock;
    this.random = random;
    this.intervalMillis = intervalMillis;
  }

  /** Begins to ask, and goes on until stopped. */
  public void start() {
    round();
  }

  /** Asks nobody any more. */
  public void stop() {
    stopped = true;
  }

  private void round() {
    if (stopped) {
      return;
    }
    Collection<UpstreamDefinition> watched = upstreams.watched();
    Set<UpstreamName> names = new HashSet<>();
    for (UpstreamDefinition upstream : watched) {
      names.add(upstream.name());
      ask(upstream);
    }
    states.keySet().retainAll(names);
    long half = Math.max(2, intervalMillis / 2);
    vertx.setTimer(intervalMillis * 3 / 4 + random.nextLong(half), timer -> round());
  }

  private void ask(UpstreamDefinition upstream) {
    Watched state = states.computeIfAbsent(upstream.name(), name -> new Watched());
    synchronized (state) {
      if (state.asking) {
        return;
      }
      state.asking = true;
      state.rounds++;
    }
    long askedAt = clock.millis();
    UpstreamEndpoint endpoint = UpstreamEndpoint.of(upstream);
    Future<UpstreamStatus> status =
        upstream.role() == UpstreamRole.PLAIN
            ? plainServices.status(endpoint)
            : engines.status(endpoint);
    status.onComplete(
        answer -> answered(upstream, state, answer, askedAt), failure -> failed(upstream, state));
  }

  private void answered(
      UpstreamDefinition upstream, Watched state, UpstreamStatus status, long askedAtMillis) {
    boolean back;
    boolean cacheIsDue;
    synchronized (state) {
      state.asking = false;
      back = state.failures >= FAILURES_TO_UNREACHABLE;
      state.failures = 0;
      cacheIsDue =
          upstream.role() == UpstreamRole.PREFILL && state.rounds % ROUNDS_PER_CACHE_QUESTION == 0;
    }
    if (back) {
      listener.reachable(upstream.name(), true);
    }
    listener.reported(status.loadReport(upstream), askedAtMillis);
    if (cacheIsDue) {
      askForCache(upstream, state);
    }
  }

  private void failed(UpstreamDefinition upstream, Watched state) {
    boolean gone;
    synchronized (state) {
      state.asking = false;
      state.failures++;
      gone = state.failures == FAILURES_TO_UNREACHABLE;
    }
    if (gone) {
      listener.reachable(upstream.name(), false);
    }
  }

  private void askForCache(UpstreamDefinition upstream, Watched state) {
    long after;
    synchronized (state) {
      after = state.nextCacheEvent;
    }
    engines
        .cacheEvents(UpstreamEndpoint.of(upstream), after)
        .onSuccess(list -> cacheAnswered(upstream, state, list));
  }

  private void cacheAnswered(UpstreamDefinition upstream, Watched state, CacheEventList list) {
    boolean restarted;
    synchronized (state) {
      restarted = state.cacheIncarnation != 0 && state.cacheIncarnation != list.incarnation();
      state.cacheIncarnation = list.incarnation();
      state.nextCacheEvent = restarted ? 0 : list.next();
    }
    if (restarted) {
      // An engine that started anew numbers its events from the start; what was known is gone.
      listener.cached(new CacheEvent(upstream.name(), CacheEvent.Kind.CLEARED, 0));
      return;
    }
    for (CacheEventList.CacheEvent event : list.events()) {
      kindOf(event)
          .ifPresent(kind -> listener.cached(new CacheEvent(upstream.name(), kind, event.hash())));
    }
  }

  private static Optional<CacheEvent.Kind> kindOf(CacheEventList.CacheEvent event) {
    String name = event.kind().toUpperCase(Locale.ROOT);
    return Arrays.stream(CacheEvent.Kind.values())
        .filter(kind -> kind.name().equals(name))
        .findFirst();
  }
}
