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

  private final DiscoveredUpstreams beliefs = new DiscoveredUpstreams();
  private final Clock clock;
  private final Consumer<Configuration> pools;
  private final Consumer<Incarnation> lives;
  private Optional<RoutingConfiguration> routing = Optional.empty();
  private volatile Configuration configuration = Configuration.empty();
  private Set<Incarnation> incarnations = Set.of();
  private boolean gathering;
  private boolean publishDue;
  private boolean upstreamsReachable = true;
  private boolean routesReachable = true;

  /**
   * Starts with nothing known.
   *
   * @param clock tells the time
   * @param pools hears of each change of the pools
   * @param lives hears of each life of an upstream, as it is first believed in
   */
  public ForwardingState(Clock clock, Consumer<Configuration> pools, Consumer<Incarnation> lives) {
    this.clock = clock;
    this.pools = pools;
    this.lives = lives;
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
    return routing.isPresent() && beliefs.isKnown();
  }

  /** Takes routes; older ones than those in force are dropped. */
  public void routes(RoutingConfiguration newer) {
    routesBack();
    if (routing.filter(known -> known.version() >= newer.version()).isPresent()) {
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
  public void routesLost(String cause) {
    if (routesReachable) {
      routesReachable = false;
      LOG.atWarn().addKeyValue("cause", cause).log("routes cannot be read");
    }
  }

  /** Records that the routes were read. */
  public void routesBack() {
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
  public void upstreams(List<ListedUpstream> whole, Collection<UpstreamName> unusable) {
    upstreamsBack();
    if (beliefs.listed(whole, unusable, clock.millis())) {
      publish();
    }
  }

  /** Handles what another daemon knows, where the lists cannot be read here. */
  public void learned(Optional<RoutingConfiguration> routes, List<ListedUpstream> upstreams) {
    boolean newer =
        routes
            .filter(other -> routing.filter(own -> own.version() >= other.version()).isEmpty())
            .isPresent();
    if (newer) {
      routing = routes;
    }
    if (beliefs.listedByPeer(upstreams) || newer) {
      LOG.atInfo()
          .addKeyValue("version", routing.map(RoutingConfiguration::version).orElse(0L))
          .addKeyValue("upstreams", upstreams.size())
          .log("learned from another daemon");
      publish();
    }
  }

  /** Whether nothing is known and the lists cannot be read, so that others have to be asked. */
  public boolean needsOthers() {
    return !isReady() && !(routesReachable && upstreamsReachable);
  }

  /**
   * Has all that {@code changes} tells put in force at once, at its end.
   *
   * <p>Upstreams change in groups, when a service is replaced or a fleet starts. The pools are
   * built anew of all upstreams, so that putting each change in force alone costs the square of the
   * group.
   */
  public void together(Runnable changes) {
    gathering = true;
    try {
      changes.run();
    } finally {
      gathering = false;
      if (publishDue) {
        publish();
      }
    }
  }

  /** Handles an entry that is new or has changed. */
  public void upstream(ListedUpstream one) {
    upstreamsBack();
    if (beliefs.changed(one, clock.millis())) {
      LOG.atInfo()
          .addKeyValue("upstream", one.definition().name())
          .addKeyValue("service", one.definition().service())
          .addKeyValue("role", one.definition().role())
          .addKeyValue("leaving", one.definition().drained())
          .addKeyValue("revision", one.revision())
          .log("upstream listed");
      publish();
    }
  }

  /** Records that an entry cannot be used any more. */
  public void upstreamUnusable(UpstreamName name) {
    upstreamsBack();
    if (beliefs.unusable(name, clock.millis())) {
      LOG.atWarn()
          .addKeyValue("upstream", name)
          .log("entry of an upstream cannot be used any more");
      publish();
    }
  }

  /** Records that an entry was removed. */
  public void upstreamRemoved(UpstreamName name) {
    upstreamsBack();
    if (beliefs.removed(name, clock.millis())) {
      LOG.atInfo().addKeyValue("upstream", name).log("upstream gone from the list");
      publish();
    }
  }

  /** Records that the list of upstreams was heard from without news. */
  public void upstreamListResponded() {
    upstreamsBack();
    beliefs.received(clock.millis());
  }

  /** Records that the list of upstreams could not be read. */
  public void upstreamsLost(String cause) {
    if (upstreamsReachable) {
      upstreamsReachable = false;
      LOG.atWarn().addKeyValue("cause", cause).log("list of upstreams cannot be read");
    }
    beliefs.readFailed();
  }

  /** Does what time has made due; called some times a second. */
  public void tick() {
    if (beliefs.tick(clock.millis())) {
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
        + (beliefs.isReachable() ? "" : ", list not read")
        + ", heard "
        + (long) ageMillis()
        + " ms ago";
  }

  /** How long ago the list of upstreams was heard from, in milliseconds. */
  public double ageMillis() {
    return (double) (clock.millis() - beliefs.lastReceivedAtMillis());
  }

  /** The version of the routes in force; zero before the first. */
  public double version() {
    return routing.map(known -> (double) known.version()).orElse(0.0);
  }

  /** What the engines of a service can do. */
  public Optional<EngineProfile> engines(String service) {
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

  private void upstreamsBack() {
    if (!upstreamsReachable) {
      upstreamsReachable = true;
      LOG.atInfo().log("list of upstreams can be read again");
    }
  }

  private void publish() {
    if (gathering) {
      publishDue = true;
      return;
    }
    publishDue = false;
    if (routing.isEmpty()) {
      return;
    }
    Set<Incarnation> before = incarnations;
    configuration =
        PoolConfiguration.of(configuration.revision() + 1, routing.get(), beliefs.upstreams());
    incarnations =
        configuration.upstreams().stream()
            .map(UpstreamDefinition::incarnation)
            .collect(Collectors.toUnmodifiableSet());
    pools.accept(configuration);
    incarnations.stream().filter(life -> !before.contains(life)).forEach(lives);
  }
}
