package org.marjoramsail.daemon.forward;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.marjoramsail.core.configuration.Configuration;
import org.marjoramsail.core.configuration.UpstreamDefinition;
import org.marjoramsail.core.discovery.DiscoveredUpstreams;
import org.marjoramsail.core.discovery.ListedUpstream;
import org.marjoramsail.core.discovery.RetainedUpstream;
import org.marjoramsail.core.discovery.RetentionBounds;
import org.marjoramsail.core.discovery.RevisionGap;
import org.marjoramsail.core.discovery.StoreRevision;
import org.marjoramsail.core.model.Incarnation;
import org.marjoramsail.core.model.SoftwareVersion;
import org.marjoramsail.core.model.UpstreamName;
import org.marjoramsail.core.model.UpstreamRole;
import org.marjoramsail.core.routing.EngineProfile;
import org.marjoramsail.core.routing.ForwardingRules;
import org.marjoramsail.core.routing.PoolConfiguration;
import org.marjoramsail.core.routing.Route;
import org.marjoramsail.core.routing.RoutedService;
import org.marjoramsail.core.routing.RoutesConfirmation;
import org.marjoramsail.core.routing.RoutingConfiguration;
import org.marjoramsail.core.routing.WeightedService;
import org.marjoramsail.core.stream.StreamOrigin;
import org.marjoramsail.core.time.Clock;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Routes and upstreams that this daemon uses, and the pools that result from both. Older versions
 * of the routes never replace newer ones. Runs on one event loop.
 */
public final class ForwardingState implements ListedVersions, RoutesStatus {

  private static final Logger LOG = LoggerFactory.getLogger(ForwardingState.class);

  /**
   * Time for which streams may last that began before this daemon started, in milliseconds. The
   * timeout of their route may have been longer than any that this daemon has seen.
   */
  private static final long EARLIER_STREAM_MILLIS = 30_000;

  /** Time for the first reads of the lists before other daemons are asked, in milliseconds. */
  private static final long FIRST_READ_MILLIS = 1_000;

  private final DiscoveredUpstreams discoveredUpstreams;
  private final Clock clock;
  private final long createdAtMillis;
  private final Consumer<Configuration> poolListener;
  private final Consumer<UpstreamDefinition> incarnationListener;
  private final RoutesConfirmation confirmation = new RoutesConfirmation();
  private volatile Optional<RoutingConfiguration> routing = Optional.empty();
  private volatile Configuration configuration = Configuration.empty();
  private Set<Incarnation> incarnations = Set.of();
  private Map<String, Long> servicesSinceMillis = Map.of();
  private Map<String, Long> longestStreamsMillis = Map.of();
  private Map<UpstreamName, RetainedUpstream> retained = Map.of();
  private boolean batching;
  private boolean publishPending;
  private boolean upstreamListReachable = true;
  private boolean routesReachable = true;
  private boolean newerRoutesKnown;

  /**
   * Creates an empty state.
   *
   * @param clock returns the current time
   * @param retention decides how long an upstream without an entry is kept after an outage
   * @param poolListener receives each change of the pools
   * @param incarnationListener receives each upstream that is new or has a new incarnation
   */
  public ForwardingState(
      Clock clock,
      RetentionBounds retention,
      Consumer<Configuration> poolListener,
      Consumer<UpstreamDefinition> incarnationListener) {
    this.clock = clock;
    this.createdAtMillis = clock.millis();
    this.discoveredUpstreams = new DiscoveredUpstreams(retention);
    this.poolListener = poolListener;
    this.incarnationListener = incarnationListener;
  }

  /** Returns the routes in use. */
  public Optional<RoutingConfiguration> routing() {
    return routing;
  }

  /** Returns the current pools. */
  public Configuration configuration() {
    return configuration;
  }

  /** Returns whether requests can be routed. */
  public boolean isReady() {
    return routing.isPresent() && discoveredUpstreams.isKnown();
  }

  /** Replaces the routes, unless the given ones are not newer. */
  public void updateRoutes(RoutingConfiguration newer) {
    routesAvailable();
    if (routing.filter(current -> current.version() >= newer.version()).isPresent()) {
      return;
    }
    recordServices(newer);
    routing = Optional.of(newer);
    LOG.atInfo().addKeyValue("version", newer.version()).log("routes in force");
    for (String organisation : newer.keys().organisationsWithDuplicateKeys()) {
      LOG.atWarn()
          .addKeyValue("organisation", organisation)
          .log("organisation declares a key that belongs to another organisation");
    }
    publish();
  }

  /** Records that the routes could not be read. */
  public void routesUnavailable(String cause) {
    confirmation.failed();
    if (routesReachable) {
      routesReachable = false;
      LOG.atWarn().addKeyValue("cause", cause).log("routes cannot be read");
    }
  }

  /**
   * Records that the store responded with the newest routes, which were applied.
   *
   * @param validMillis time within which the next response is expected
   */
  public void routesConfirmed(long validMillis) {
    routesAvailable();
    confirmation.confirmed(clock.millis(), validMillis);
  }

  /** Returns whether the last read of the routes succeeded. */
  public boolean areRoutesReadable() {
    return routesReachable;
  }

  /** Records that the routes were read. */
  public void routesAvailable() {
    if (!routesReachable) {
      routesReachable = true;
      LOG.atInfo().log("routes can be read again");
    }
  }

  /**
   * Replaces the list of upstreams.
   *
   * @param unusable names of the upstreams whose entries exist but cannot be used
   */
  public void replaceUpstreams(List<ListedUpstream> listed, Collection<UpstreamName> unusable) {
    upstreamsAvailable();
    if (discoveredUpstreams.listed(listed, unusable, clock.millis())) {
      publish();
    }
    logRetained();
  }

  /**
   * Handles the list of upstreams, read again after a response that may have left out changes.
   *
   * @param unusable names of the upstreams whose entries exist but cannot be used
   * @param gap revisions of the store of which these changes may be
   */
  public void replaceUpstreams(
      List<ListedUpstream> listed, Collection<UpstreamName> unusable, RevisionGap gap) {
    upstreamsAvailable();
    if (discoveredUpstreams.listedAfterGap(listed, unusable, gap, clock.millis())) {
      publish();
    }
    logRetained();
  }

  /**
   * Returns the revision after which changes of the list of upstreams may have been missed, within
   * the time that streams last; empty if none were, or if reading them would not complete the
   * history of any version.
   */
  public Optional<StoreRevision> oldestUpstreamGap() {
    long now = clock.millis();
    long longestMillis =
        longestStreamsMillis.values().stream().reduce(EARLIER_STREAM_MILLIS, Math::max);
    return discoveredUpstreams.oldestGap(now - longestMillis, now - EARLIER_STREAM_MILLIS);
  }

  /** Handles revisions of the store that did not change the list of upstreams. */
  public void upstreamsUnchangedBy(Collection<StoreRevision> revisions) {
    discoveredUpstreams.unchangedBy(revisions);
  }

  /** Drops the older gaps, as the store has discarded the changes that would close them. */
  public void upstreamGapHistoryGone() {
    discoveredUpstreams.gapHistoryGone();
  }

  /**
   * Handles the routes and upstreams of another daemon, which this one receives when it cannot read
   * the lists itself, or has not read a newer version yet. The routes are not confirmed by that.
   *
   * @param upstreams the upstreams; empty if only routes were received
   */
  public void receivedFromDaemon(
      Optional<RoutingConfiguration> routes, Optional<List<ListedUpstream>> upstreams) {
    boolean newer =
        routes
            .filter(
                received ->
                    routing.filter(current -> current.version() >= received.version()).isEmpty())
            .isPresent();
    if (newer) {
      routes.ifPresent(this::recordServices);
      routing = routes;
    }
    boolean listed = upstreams.filter(discoveredUpstreams::listedByPeer).isPresent();
    if (listed || newer) {
      LOG.atInfo()
          .addKeyValue("version", routing.map(RoutingConfiguration::version).orElse(0L))
          .addKeyValue("upstreams", upstreams.map(List::size).orElse(0))
          .log("routes and upstreams received from another daemon");
      publish();
    }
  }

  /**
   * Returns whether this daemon has to request routes and upstreams from other daemons, because it
   * has none and cannot read the lists, or not soon.
   */
  public boolean needsOtherDaemons() {
    boolean isOverdue = clock.millis() - createdAtMillis >= FIRST_READ_MILLIS;
    return !isReady() && (isOverdue || !routesReachable || !upstreamListReachable);
  }

  /**
   * Publishes all changes that {@code changes} makes at once, after the last of them.
   *
   * <p>Upstreams change in groups, when a service is replaced or a fleet starts. Each publication
   * rebuilds the pools from all upstreams, so that publishing every change alone has quadratic
   * cost.
   */
  public void applyTogether(Runnable changes) {
    batching = true;
    try {
      changes.run();
    } finally {
      batching = false;
      if (publishPending) {
        publish();
      }
    }
  }

  /** Handles an entry that is new or has changed. */
  public void updateUpstream(ListedUpstream listed) {
    upstreamsAvailable();
    if (discoveredUpstreams.changed(listed, clock.millis())) {
      LOG.atInfo()
          .addKeyValue("upstream", listed.definition().name())
          .addKeyValue("service", listed.definition().service())
          .addKeyValue("role", listed.definition().role())
          .addKeyValue(
              "version",
              listed.definition().softwareVersion().map(SoftwareVersion::value).orElse(""))
          .addKeyValue("leaving", listed.definition().drained())
          .addKeyValue("revision", listed.revision())
          .log("upstream listed");
      publish();
    }
  }

  /** Records that an entry has become unusable. */
  public void upstreamUnusable(UpstreamName name) {
    upstreamsAvailable();
    if (discoveredUpstreams.unusable(name, clock.millis())) {
      LOG.atWarn().addKeyValue("upstream", name).log("entry of an upstream has become unusable");
      publish();
    }
  }

  /** Records that an entry was removed. */
  public void upstreamRemoved(UpstreamName name) {
    upstreamsAvailable();
    if (discoveredUpstreams.removed(name, clock.millis())) {
      LOG.atInfo().addKeyValue("upstream", name).log("upstream gone from the list");
      publish();
    }
    logRetained();
  }

  /** Records that the list of upstreams responded without changes. */
  public void upstreamListResponded() {
    upstreamsAvailable();
    discoveredUpstreams.received(clock.millis());
  }

  /**
   * Records that a call to the list of upstreams got no response.
   *
   * @param sentAtMillis when it was sent
   */
  public void upstreamsUnavailable(String cause, long sentAtMillis) {
    logUnavailable(cause);
    upstreamsUnanswered(sentAtMillis);
  }

  /**
   * Records that a call to the store other than a read of the list got no response.
   *
   * @param sentAtMillis when it was sent
   */
  public void upstreamsUnanswered(long sentAtMillis) {
    discoveredUpstreams.readFailed(sentAtMillis);
  }

  /**
   * Records that the connection of a call to the list of upstreams was closed.
   *
   * @param sentAtMillis when the call was sent
   */
  public void upstreamsInterrupted(String cause, long sentAtMillis) {
    logUnavailable(cause);
    discoveredUpstreams.readInterrupted(sentAtMillis, clock.millis());
  }

  /** Records that the list of upstreams responded that it is unavailable. */
  public void upstreamsRefused(String cause) {
    logUnavailable(cause);
    discoveredUpstreams.readFailed(clock.millis());
  }

  /** Records that the list of upstreams is available, but responded without its state. */
  public void upstreamsDeclined(String cause) {
    logUnavailable(cause);
    discoveredUpstreams.readDeclined(clock.millis());
  }

  /** Records that the store responds again, although the list has not been read yet. */
  public void upstreamListAvailable() {
    discoveredUpstreams.available(clock.millis());
  }

  /** Records that the list of upstreams was restored from a backup, which may lack entries. */
  public void upstreamsRestored() {
    logUnavailable("RESTORED");
    discoveredUpstreams.restored(clock.millis());
  }

  /**
   * Removes upstreams whose time to reappear in the list has expired; called several times a
   * second.
   */
  public void tick() {
    if (discoveredUpstreams.tick(clock.millis())) {
      LOG.atInfo().log("upstreams that did not reappear in the list were removed");
      publish();
    }
    logRetained();
  }

  /** Returns the versions and the age of routes and upstreams, for logs. */
  public String describe() {
    long version = routesVersion();
    OptionalLong confirmedAgo = routesConfirmedMillisAgo();
    return "routes "
        + version
        + ", confirmed "
        + (confirmedAgo.isPresent() ? confirmedAgo.getAsLong() + " ms ago" : "never")
        + ", upstreams "
        + configuration.upstreams().size()
        + (discoveredUpstreams.isReachable() ? "" : ", list not read")
        + ", heard "
        + ageMillis()
        + " ms ago";
  }

  @Override
  public long ageMillis() {
    return clock.millis() - discoveredUpstreams.lastReceivedAtMillis();
  }

  /** Returns the number of upstreams that are kept although the list has no entry for them. */
  public int retainedUpstreams() {
    return retained.size();
  }

  /** Returns the version of the routes in use; zero if there are none. */
  public double version() {
    return routesVersion();
  }

  @Override
  public long routesVersion() {
    return routing.map(RoutingConfiguration::version).orElse(0L);
  }

  @Override
  public boolean areRoutesConfirmed() {
    return !newerRoutesKnown && confirmation.isConfirmed(clock.millis());
  }

  /** Sets whether another daemon has told of a newer version of the routes. */
  public void newerRoutesKnown(boolean known) {
    newerRoutesKnown = known;
  }

  @Override
  public OptionalLong routesConfirmedMillisAgo() {
    return confirmation.ageMillis(clock.millis());
  }

  /** Returns the capabilities of a service's engines. */
  public Optional<EngineProfile> engineFacts(String service) {
    return routing.flatMap(known -> known.service(service)).flatMap(RoutedService::engines);
  }

  @Override
  public Optional<StreamOrigin> onlyOrigin(Route route) {
    long sinceMillis = clock.millis() - longestStreamMillis(route);
    boolean hadOneService =
        route.services().size() == 1
            && servicesSinceMillis.getOrDefault(route.name(), Long.MAX_VALUE) <= sinceMillis;
    if (!hadOneService) {
      return Optional.empty();
    }
    String service = route.services().get(0).service();
    return discoveredUpstreams
        .onlyVersionSince(service, sinceMillis)
        .map(version -> new StreamOrigin(service, version));
  }

  /**
   * Returns the time for which streams of a route may last, also of those that began when the route
   * had another timeout.
   */
  private long longestStreamMillis(Route route) {
    long lifetimeMillis = ForwardingRules.streamLifetimeMillis(route);
    long earlierMillis = longestStreamsMillis.getOrDefault(route.name(), lifetimeMillis);
    return Math.max(EARLIER_STREAM_MILLIS, Math.max(lifetimeMillis, earlierMillis));
  }

  @Override
  public String describe(String service) {
    Map<SoftwareVersion, Long> countByVersion =
        configuration.upstreams().stream()
            .filter(upstream -> upstream.service().equals(service))
            .flatMap(upstream -> upstream.softwareVersion().stream())
            .collect(
                Collectors.groupingBy(version -> version, TreeMap::new, Collectors.counting()));
    return countByVersion.toString();
  }

  /** Records since when each route has its services, and how long its streams may last. */
  private void recordServices(RoutingConfiguration newer) {
    Map<String, List<WeightedService>> before =
        routing.stream()
            .flatMap(known -> known.routes().all().stream())
            .collect(Collectors.toMap(Route::name, Route::services, (first, second) -> first));
    Map<String, Long> since = new HashMap<>();
    Map<String, Long> longest = new HashMap<>();
    for (Route route : newer.routes().all()) {
      boolean isSame = route.services().equals(before.get(route.name()));
      since.put(
          route.name(), isSame ? servicesSinceMillis.get(route.name()) : (Long) clock.millis());
      longest.put(
          route.name(),
          Math.max(
              ForwardingRules.streamLifetimeMillis(route),
              longestStreamsMillis.getOrDefault(route.name(), 0L)));
    }
    servicesSinceMillis = since;
    longestStreamsMillis = longest;
  }

  /** Returns the number of engines in the pools. */
  public int engineCount() {
    return (int)
        configuration.upstreams().stream()
            .filter(upstream -> upstream.role() != UpstreamRole.PLAIN)
            .count();
  }

  /** Returns the incarnations of all upstreams in the pools. */
  public Set<Incarnation> incarnations() {
    return incarnations;
  }

  private void logRetained() {
    Map<UpstreamName, RetainedUpstream> before = retained;
    retained = discoveredUpstreams.retained();
    retained.values().stream()
        .filter(one -> !one.equals(before.get(one.name())))
        .forEach(
            one ->
                LOG.atInfo()
                    .addKeyValue("upstream", one.name())
                    .addKeyValue("outageEndedMillisAgo", clock.millis() - one.outageEndedAtMillis())
                    .addKeyValue("keptMillis", one.untilMillis() - clock.millis())
                    .log("upstream kept without an entry, which may have expired in an outage"));
  }

  private void logUnavailable(String cause) {
    if (upstreamListReachable) {
      upstreamListReachable = false;
      LOG.atWarn().addKeyValue("cause", cause).log("list of upstreams cannot be read");
    }
  }

  private void upstreamsAvailable() {
    if (!upstreamListReachable) {
      upstreamListReachable = true;
      LOG.atInfo().log("list of upstreams can be read again");
    }
  }

  private void publish() {
    if (batching) {
      publishPending = true;
      return;
    }
    publishPending = false;
    if (routing.isEmpty()) {
      return;
    }
    Set<Incarnation> before = incarnations;
    configuration =
        PoolConfiguration.of(
            configuration.revision() + 1, routing.get(), discoveredUpstreams.upstreams());
    incarnations =
        configuration.upstreams().stream()
            .map(UpstreamDefinition::incarnation)
            .collect(Collectors.toUnmodifiableSet());
    poolListener.accept(configuration);
    configuration.upstreams().stream()
        .filter(upstream -> !before.contains(upstream.incarnation()))
        .forEach(incarnationListener);
  }
}
