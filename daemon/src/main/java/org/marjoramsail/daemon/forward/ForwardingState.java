package org.marjoramsail.daemon.forward;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.marjoramsail.core.configuration.Configuration;
import org.marjoramsail.core.configuration.UpstreamDefinition;
import org.marjoramsail.core.discovery.DiscoveredUpstreams;
import org.marjoramsail.core.discovery.ListedUpstream;
import org.marjoramsail.core.model.Incarnation;
import org.marjoramsail.core.model.UpstreamName;
import org.marjoramsail.core.model.UpstreamRole;
import org.marjoramsail.core.routing.EngineProfile;
import org.marjoramsail.core.routing.PoolConfiguration;
import org.marjoramsail.core.routing.RoutedService;
import org.marjoramsail.core.routing.RoutingConfiguration;
import org.marjoramsail.core.time.Clock;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * What this daemon believes of routes and upstreams, and the pools that follow from both. It never
 * goes back to an older version of the routes. Lives on one event loop.
 */
public final class ForwardingState {

  private static final Logger LOG = LoggerFactory.getLogger(ForwardingState.class);

  private final DiscoveredUpstreams discoveredUpstreams = new DiscoveredUpstreams();
  private final Clock clock;
  private final Consumer<Configuration> poolListener;
  private final Consumer<Incarnation> incarnationListener;
  private Optional<RoutingConfiguration> routing = Optional.empty();
  private volatile Configuration configuration = Configuration.empty();
  private Set<Incarnation> incarnations = Set.of();
  private boolean batching;
  private boolean publishPending;
  private boolean upstreamListReachable = true;
  private boolean routesReachable = true;

  /**
   * Starts with nothing known.
   *
   * @param clock tells the time
   * @param poolListener hears of each change of the pools
   * @param incarnationListener hears of each life of an upstream, as it is first believed in
   */
  public ForwardingState(
      Clock clock,
      Consumer<Configuration> poolListener,
      Consumer<Incarnation> incarnationListener) {
    this.clock = clock;
    this.poolListener = poolListener;
    this.incarnationListener = incarnationListener;
  }

  /** The routes in force here. */
  public Optional<RoutingConfiguration> routing() {
    return routing;
  }

  /** The pools that follow. */
  public Configuration configuration() {
    return configuration;
  }

  /** Whether requests can be routed. */
  public boolean isReady() {
    return routing.isPresent() && discoveredUpstreams.isKnown();
  }

  /** Takes routes; older ones than those in force are dropped. */
  public void updateRoutes(RoutingConfiguration newer) {
    routesAvailable();
    if (routing.filter(current -> current.version() >= newer.version()).isPresent()) {
      return;
    }
    routing = Optional.of(newer);
    LOG.atInfo().addKeyValue("version", newer.version()).log("routes in force");
    for (String organisation : newer.keys().organisationsWithDuplicateKeys()) {
      LOG.atWarn()
          .addKeyValue("organisation", organisation)
          .log("organisation states a key that another one holds");
    }
    publish();
  }

  /** Records that the routes could not be read. */
  public void routesUnavailable(String cause) {
    if (routesReachable) {
      routesReachable = false;
      LOG.atWarn().addKeyValue("cause", cause).log("routes cannot be read");
    }
  }

  /** Records that the routes were read. */
  public void routesAvailable() {
    if (!routesReachable) {
      routesReachable = true;
      LOG.atInfo().log("routes can be read again");
    }
  }

  /**
   * Handles the whole list of upstreams.
   *
   * @param unusable names whose entries are there and cannot be used
   */
  public void replaceUpstreams(List<ListedUpstream> listed, Collection<UpstreamName> unusable) {
    upstreamsAvailable();
    if (discoveredUpstreams.listed(listed, unusable, clock.millis())) {
      publish();
    }
  }

  /** Handles what another daemon knows, where the lists cannot be read here. */
  public void receivedFromDaemon(
      Optional<RoutingConfiguration> routes, List<ListedUpstream> upstreams) {
    boolean newer =
        routes
            .filter(
                received ->
                    routing.filter(current -> current.version() >= received.version()).isEmpty())
            .isPresent();
    if (newer) {
      routing = routes;
    }
    if (discoveredUpstreams.listedByPeer(upstreams) || newer) {
      LOG.atInfo()
          .addKeyValue("version", routing.map(RoutingConfiguration::version).orElse(0L))
          .addKeyValue("upstreams", upstreams.size())
          .log("learned from another daemon");
      publish();
    }
  }

  /** Whether nothing is known and the lists cannot be read, so that others have to be asked. */
  public boolean needsOtherDaemons() {
    return !isReady() && !(routesReachable && upstreamListReachable);
  }

  /**
   * Has all that {@code changes} tells put in force at once, at its end.
   *
   * <p>Upstreams change in groups, when a service is replaced or a fleet starts. The pools are
   * built anew of all upstreams, so that putting each change in force alone costs the square of the
   * group.
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
          .addKeyValue("leaving", listed.definition().drained())
          .addKeyValue("revision", listed.revision())
          .log("upstream listed");
      publish();
    }
  }

  /** Records that an entry cannot be used any more. */
  public void upstreamUnusable(UpstreamName name) {
    upstreamsAvailable();
    if (discoveredUpstreams.unusable(name, clock.millis())) {
      LOG.atWarn()
          .addKeyValue("upstream", name)
          .log("entry of an upstream cannot be used any more");
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
  }

  /** Records that the list of upstreams was heard from without news. */
  public void upstreamListResponded() {
    upstreamsAvailable();
    discoveredUpstreams.received(clock.millis());
  }

  /** Records that the list of upstreams could not be read. */
  public void upstreamsUnavailable(String cause) {
    if (upstreamListReachable) {
      upstreamListReachable = false;
      LOG.atWarn().addKeyValue("cause", cause).log("list of upstreams cannot be read");
    }
    discoveredUpstreams.readFailed();
  }

  /** Does what time has made due; called some times a second. */
  public void tick() {
    if (discoveredUpstreams.tick(clock.millis())) {
      LOG.atInfo().log("upstreams that did not come back to the list are gone");
      publish();
    }
  }

  /** Which routes and upstreams are believed in, and how old that is, for logs. */
  public String describe() {
    long version = routing.map(RoutingConfiguration::version).orElse(0L);
    return "routes "
        + version
        + ", upstreams "
        + configuration.upstreams().size()
        + (discoveredUpstreams.isReachable() ? "" : ", list not read")
        + ", heard "
        + (long) upstreamListAgeMillis()
        + " ms ago";
  }

  /** How long ago the list of upstreams was heard from, in milliseconds. */
  public double upstreamListAgeMillis() {
    return (double) (clock.millis() - discoveredUpstreams.lastReceivedAtMillis());
  }

  /** The version of the routes in force; zero before the first. */
  public double version() {
    return routing.map(known -> (double) known.version()).orElse(0.0);
  }

  /** What the engines of a service can do. */
  public Optional<EngineProfile> engineFacts(String service) {
    return routing.flatMap(known -> known.service(service)).flatMap(RoutedService::engines);
  }

  /** How many engines are believed in. */
  public int engineCount() {
    return (int)
        configuration.upstreams().stream()
            .filter(upstream -> upstream.role() != UpstreamRole.PLAIN)
            .count();
  }

  /** The lives of all upstreams that are believed in. */
  public Set<Incarnation> incarnations() {
    return incarnations;
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
    incarnations.stream()
        .filter(incarnation -> !before.contains(incarnation))
        .forEach(incarnationListener);
  }
}
