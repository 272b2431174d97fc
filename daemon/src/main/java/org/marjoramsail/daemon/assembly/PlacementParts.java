package org.marjoramsail.daemon.assembly;

import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;
import org.marjoramsail.core.configuration.UpstreamDefinition;
import org.marjoramsail.core.model.UpstreamName;
import org.marjoramsail.core.outcome.Quarantine;
import org.marjoramsail.core.placement.CacheEvent;
import org.marjoramsail.core.placement.LoadReport;
import org.marjoramsail.core.placement.ShardId;
import org.marjoramsail.core.time.Clock;
import org.marjoramsail.daemon.placement.ConfiguredShards;
import org.marjoramsail.daemon.placement.DistributedPlacement;
import org.marjoramsail.daemon.request.RequestRegistry;
import org.marjoramsail.daemon.upstream.UpstreamDirectory;
import org.marjoramsail.daemon.upstream.UpstreamListener;

/** Joins placement, quarantine and what upstreams say, and gives placement its ticks. */
final class PlacementParts implements UpstreamListener {

  private static final long OWNER_TICK_MILLIS = 5;
  private static final long ENTRY_TICK_MILLIS = 100;

  private final DistributedPlacement placement;
  private final ConfiguredShards shards;
  private final Quarantine quarantine;
  private final RequestRegistry registry;
  private final UpstreamDirectory directory;
  private final Clock clock;
  private final AtomicBoolean paused;
  private final List<Long> timers = new ArrayList<>();

  PlacementParts(
      DistributedPlacement placement,
      ConfiguredShards shards,
      Quarantine quarantine,
      RequestRegistry registry,
      UpstreamDirectory directory,
      Clock clock,
      AtomicBoolean paused) {
    this.placement = placement;
    this.shards = shards;
    this.quarantine = quarantine;
    this.registry = registry;
    this.directory = directory;
    this.clock = clock;
    this.paused = paused;
  }

  void start(Vertx vertx) {
    timers.add(vertx.setPeriodic(OWNER_TICK_MILLIS, timer -> unlessPaused(placement::tickOwned)));
    timers.add(vertx.setPeriodic(ENTRY_TICK_MILLIS, timer -> unlessPaused(placement::tickEntry)));
  }

  void stop(Vertx vertx) {
    timers.forEach(vertx::cancelTimer);
  }

  /** The upstreams of the shards decided here, and those that may have crashed under a request. */
  Collection<UpstreamDefinition> watched() {
    Map<UpstreamName, UpstreamDefinition> watched = new LinkedHashMap<>();
    for (ShardId shard : placement.watchedShards()) {
      shards.upstreamsOf(shard).forEach(upstream -> watched.put(upstream.name(), upstream));
    }
    for (UpstreamName upstream : quarantine.unsettledUpstreams()) {
      directory.definition(upstream).ifPresent(found -> watched.put(upstream, found));
    }
    return watched.values();
  }

  @Override
  public void reported(LoadReport report, long askedAtMillis) {
    long asOf = askedAtMillis - report.ageMillis();
    if (quarantine.incarnation(report.upstream(), report.incarnation(), asOf, clock.millis())) {
      registry.upstreamRestarted(report.upstream());
    }
    placement.load(report);
  }

  @Override
  public void reachable(UpstreamName upstream, boolean reachable) {
    placement.availability(upstream, reachable);
  }

  @Override
  public void cached(CacheEvent event) {
    placement.cached(event);
  }

  private void unlessPaused(Runnable task) {
    if (!paused.get()) {
      task.run();
    }
  }
}
