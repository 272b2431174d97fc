package org.marjoramsail.daemon.assembly;

import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.marjoramsail.core.configuration.UpstreamDefinition;
import org.marjoramsail.core.membership.PeerAddress;
import org.marjoramsail.core.model.UpstreamName;
import org.marjoramsail.core.model.UpstreamRole;
import org.marjoramsail.core.outcome.Quarantine;
import org.marjoramsail.core.placement.CacheEvent;
import org.marjoramsail.core.placement.LoadReport;
import org.marjoramsail.core.placement.ShardId;
import org.marjoramsail.daemon.placement.ConfiguredShards;
import org.marjoramsail.daemon.placement.DistributedPlacement;
import org.marjoramsail.daemon.timing.AdaptiveTimer;
import org.marjoramsail.daemon.upstream.CacheEventList;
import org.marjoramsail.daemon.upstream.CacheEventPoller;
import org.marjoramsail.daemon.upstream.UpstreamDirectory;
import org.marjoramsail.daemon.upstream.UpstreamObserver;
import org.marjoramsail.daemon.upstream.UpstreamStatus;

/** Joins placement with what upstreams say, and gives placement its ticks. */
final class PlacementParts implements UpstreamObserver {

  private static final long OWNER_TICK_MILLIS = 5;
  private static final long OWNER_REST_MILLIS = 50;
  private static final long ENTRY_TICK_MILLIS = 100;
  private static final long USAGE_MILLIS = 500;
  private static final long AVAILABILITY_MILLIS = 500;

  /** How many polls in a row have to fail before an upstream counts as unreachable. */
  private static final int FAILURES_TO_UNREACHABLE = 2;

  /** Cache events are hints; they are asked for after one in so many polls. */
  private static final int POLLS_PER_CACHE_POLL = 2;

  private final DistributedPlacement placement;
  private final ConfiguredShards shards;
  private final Quarantine quarantine;
  private final UpstreamDirectory directory;
  private final CacheEventPoller caches;
  private final Map<UpstreamName, Integer> failures = new ConcurrentHashMap<>();
  private final Map<UpstreamName, Integer> polls = new ConcurrentHashMap<>();
  private final Set<UpstreamName> out = ConcurrentHashMap.newKeySet();
  private final List<Long> timers = new ArrayList<>();
  private final AdaptiveTimer ownerTicks;
  private volatile Set<PeerAddress> leaving = Set.of();

  PlacementParts(
      Vertx vertx,
      DistributedPlacement placement,
      ConfiguredShards shards,
      Quarantine quarantine,
      UpstreamDirectory directory,
      CacheEventPoller caches) {
    this.placement = placement;
    this.shards = shards;
    this.quarantine = quarantine;
    this.directory = directory;
    this.caches = caches;
    this.ownerTicks =
        new AdaptiveTimer(
            vertx,
            OWNER_TICK_MILLIS,
            OWNER_REST_MILLIS,
            placement::hasWaitingRequests,
            placement::tickOwned);
  }

  void start(Vertx vertx) {
    ownerTicks.start();
    timers.add(vertx.setPeriodic(ENTRY_TICK_MILLIS, timer -> placement.tickEntry()));
    timers.add(vertx.setPeriodic(USAGE_MILLIS, timer -> placement.shareUsage()));
    timers.add(vertx.setPeriodic(AVAILABILITY_MILLIS, timer -> tellAvailability()));
  }

  void stop(Vertx vertx) {
    ownerTicks.stop();
    timers.forEach(vertx::cancelTimer);
  }

  /** The upstreams of the shards decided here, and those that may have crashed under a request. */
  List<UpstreamDefinition> watched() {
    Map<UpstreamName, UpstreamDefinition> watched = new LinkedHashMap<>();
    for (ShardId shard : placement.watchedShards()) {
      shards.upstreamsOf(shard).forEach(upstream -> watched.put(upstream.name(), upstream));
    }
    for (UpstreamName upstream : quarantine.unsettledUpstreams()) {
      directory.definition(upstream).ifPresent(found -> watched.put(upstream, found));
    }
    return List.copyOf(watched.values());
  }

  @Override
  public void load(LoadReport report, long askedAtMillis) {
    failures.remove(report.upstream());
    directory.definition(report.upstream()).ifPresent(this::tellAvailability);
    placement.load(report);
  }

  @Override
  public void status(UpstreamDefinition definition, UpstreamStatus status) {
    int count = polls.merge(definition.name(), 1, Integer::sum);
    if (definition.role() == UpstreamRole.PREFILL && count % POLLS_PER_CACHE_POLL == 0) {
      caches.poll(definition).onSuccess(this::cached);
    }
  }

  @Override
  public void unreachable(UpstreamName upstream, boolean connectionRefused) {
    failures.merge(upstream, 1, Integer::sum);
    directory.definition(upstream).ifPresent(this::tellAvailability);
  }

  /** Whether this daemon decides for any upstream. */
  boolean isOwner() {
    return !placement.watchedShards().isEmpty();
  }

  /** Handles where upstreams listen that the platform lists as leaving. */
  void leaving(Set<PeerAddress> listed) {
    leaving = Set.copyOf(listed);
    tellAvailability();
  }

  /**
   * Tells placement again and again which upstreams are out.
   *
   * <p>Guards against a shard whose owner was told and died: it shows as new work on a leaving
   * upstream. The next owner begins with a placer that was told nothing, and is told here.
   */
  private void tellAvailability() {
    watched().forEach(this::tellAvailability);
  }

  private synchronized void tellAvailability(UpstreamDefinition upstream) {
    boolean isOut =
        leaving.contains(new PeerAddress(upstream.address(), upstream.port()))
            || failures.getOrDefault(upstream.name(), 0) >= FAILURES_TO_UNREACHABLE;
    if (isOut) {
      out.add(upstream.name());
      placement.availability(upstream.name(), false);
    } else if (out.remove(upstream.name())) {
      placement.availability(upstream.name(), true);
    }
  }

  private void cached(CacheEventPoller.CacheChange change) {
    if (change.restarted()) {
      placement.receiveCacheEvent(new CacheEvent(change.upstream(), CacheEvent.Kind.CLEARED, 0));
      return;
    }
    for (CacheEventList.CacheEvent event : change.list().events()) {
      kindOf(event)
          .ifPresent(
              kind ->
                  placement.receiveCacheEvent(
                      new CacheEvent(change.upstream(), kind, event.hash())));
    }
  }

  private static Optional<CacheEvent.Kind> kindOf(CacheEventList.CacheEvent event) {
    String name = event.kind().toUpperCase(Locale.ROOT);
    return Arrays.stream(CacheEvent.Kind.values())
        .filter(kind -> kind.name().equals(name))
        .findFirst();
  }
}
