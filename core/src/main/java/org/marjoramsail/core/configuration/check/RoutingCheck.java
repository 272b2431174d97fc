package org.marjoramsail.core.configuration.check;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Pattern;
import org.marjoramsail.core.configuration.NearestName;
import org.marjoramsail.core.configuration.OrganisationDefinition;
import org.marjoramsail.core.outcome.LifecyclePolicy;
import org.marjoramsail.core.routing.ForwardingRules;
import org.marjoramsail.core.routing.Route;
import org.marjoramsail.core.routing.RoutedService;
import org.marjoramsail.core.routing.RoutingConfiguration;
import org.marjoramsail.core.routing.WeightedService;

/** Checks routes, services and organisations as daemons use them. */
public final class RoutingCheck {

  /** Hosts are compared literally and without a port. */
  private static final Pattern HOST = Pattern.compile("[^\\s:/*?#]+");

  private static final Pattern PREFIX = Pattern.compile("(/[^\\s?#]*)?");

  private final RoutingConfiguration routing;
  private final Map<String, RoutedService> services = new HashMap<>();
  private final Map<Place, Route> firstByPlace = new HashMap<>();
  private final Map<String, Optional<String>> nearestServices = new HashMap<>();
  private final Set<String> usedServices = new HashSet<>();
  private final List<Finding> findings = new ArrayList<>();

  private RoutingCheck(RoutingConfiguration routing) {
    this.routing = routing;
    routing.services().forEach(service -> services.putIfAbsent(service.name(), service));
  }

  private record Place(String host, String pathPrefix) {}

  /** Returns all findings in their order. */
  public static List<Finding> findingsOf(RoutingConfiguration routing) {
    RoutingCheck check = new RoutingCheck(routing);
    check.checkNames();
    for (Route route : routing.routes().all()) {
      check.checkPlace(route);
      check.checkDestinations(route);
      check.checkTimes(route);
    }
    check.checkServices();
    check.checkOrganisations();
    return check.findings.stream().sorted().toList();
  }

  /**
   * Returns a finding if daemons ignore a configuration since its version is not newer than the one
   * in force.
   *
   * @param differs whether the configuration differs from the one in force
   */
  public static Optional<Finding> outdatedVersion(long version, long inForce, boolean differs) {
    if (!differs || version > inForce) {
      return Optional.empty();
    }
    return Optional.of(
        new Finding(
            FindingKind.OUTDATED,
            new EntryKey("configuration", EntryKey.ALL),
            "version",
            Long.toString(version),
            "more than " + inForce + ", the version in force"));
  }

  private void checkNames() {
    findings.addAll(
        Entries.duplicateNames(
            Entries.ROUTE,
            routing.routes().all().stream().map(Route::name).toList(),
            "statistics and logs do not distinguish them"));
    findings.addAll(
        Entries.duplicateNames(
            Entries.SERVICE,
            routing.services().stream().map(RoutedService::name).toList(),
            "only the first is used"));
    findings.addAll(
        Entries.duplicateNames(
            Entries.ORGANISATION,
            routing.organisations().stream().map(OrganisationDefinition::name).toList(),
            "they share one limit"));
  }

  private void checkPlace(Route route) {
    if (!HOST.matcher(route.host()).matches()) {
      add(
          FindingKind.NEVER_MATCHES,
          route,
          "host",
          route.host(),
          "a host name without a port, a wildcard or spaces");
    }
    if (!PREFIX.matcher(route.pathPrefix()).matches()) {
      add(
          FindingKind.NEVER_MATCHES,
          route,
          "pathPrefix",
          route.pathPrefix(),
          "a path that starts with \"/\" and has no query, fragment or spaces");
    }
    Route first = firstByPlace.putIfAbsent(new Place(route.host(), route.pathPrefix()), route);
    if (first != null) {
      add(
          FindingKind.NEVER_MATCHES,
          route,
          "pathPrefix",
          route.pathPrefix(),
          "a prefix that no earlier route of the host has; route/" + first.name() + " has it");
    }
  }

  private void checkDestinations(Route route) {
    long sum = route.services().stream().mapToLong(WeightedService::weight).sum();
    for (int position = 0; position < route.services().size(); position++) {
      WeightedService target = route.services().get(position);
      boolean isSelected = sum > 0 ? target.weight() > 0 : position == 0;
      if (isSelected) {
        usedServices.add(target.service());
      }
      if (target.weight() <= 0) {
        String allowed =
            sum > 0
                ? "more than 0"
                : "more than 0; while no weight is, the first service gets all requests";
        add(
            FindingKind.WEIGHT,
            route,
            "weight",
            target.weight() + " of " + target.service(),
            allowed);
      }
      if (!services.containsKey(target.service())) {
        findings.add(
            new Finding(
                isSelected ? FindingKind.NOT_SERVED : FindingKind.UNUSED,
                entry(route),
                "service",
                target.service(),
                "the name of a service that is configured",
                nearestService(target.service())));
      }
    }
  }

  /** Compares names once for each unknown one, since many routes may have the same mistake. */
  private Optional<String> nearestService(String name) {
    return nearestServices.computeIfAbsent(
        name, unknown -> NearestName.of(unknown, services.keySet()));
  }

  private void checkTimes(Route route) {
    String timeout = Long.toString(route.timeoutMillis());
    if (route.timeoutMillis() <= 0) {
      add(FindingKind.NOT_SERVED, route, "timeoutMillis", timeout, "at least 1");
      return;
    }
    if (route.timeoutMillis() < route.targetMillis()) {
      String allowed = "at least the latency target of " + route.targetMillis() + " ms";
      add(FindingKind.CONTRADICTION, route, "timeoutMillis", timeout, allowed);
    }
    if (route.streaming() && route.timeoutMillis() < route.gapTargetMillis()) {
      String allowed = "at most the timeout of " + timeout + " ms";
      String gap = Long.toString(route.gapTargetMillis());
      add(FindingKind.CONTRADICTION, route, "gapTargetMillis", gap, allowed);
    }
    checkSends(route);
  }

  private void checkSends(Route route) {
    String sends = Integer.toString(route.maximumSends());
    if (route.maximumSends() < 1) {
      add(FindingKind.TOLERATED, route, "maximumSends", sends, "at least 1, which is used");
      return;
    }
    if (!route.repeatability().isResendable()) {
      return;
    }
    LifecyclePolicy policy = ForwardingRules.policyOf(route, 0);
    long stallMillis = route.streaming() ? policy.tokenStallMillis() : policy.responseStallMillis();
    long possible = 1 + (route.timeoutMillis() - 1) / stallMillis;
    if (route.maximumSends() > possible) {
      String allowed =
          "at most "
              + possible
              + ", since an upstream without a response is given up after "
              + stallMillis
              + " ms and the timeout is "
              + route.timeoutMillis()
              + " ms";
      add(FindingKind.CONTRADICTION, route, "maximumSends", sends, allowed);
    }
  }

  private void checkServices() {
    for (RoutedService service : services.values()) {
      EntryKey entry = new EntryKey(Entries.SERVICE, service.name());
      if (!usedServices.contains(service.name())) {
        String allowed = "a service to which a route leads";
        findings.add(new Finding(FindingKind.UNUSED, entry, "", service.name(), allowed));
      }
      service
          .engines()
          .filter(engines -> engines.memoryTokens() <= 0)
          .ifPresent(
              engines ->
                  findings.add(
                      new Finding(
                          FindingKind.INCOMPLETE,
                          entry,
                          "memoryTokens",
                          Integer.toString(engines.memoryTokens()),
                          "at least 1")));
    }
  }

  private void checkOrganisations() {
    findings.addAll(KeyCheck.findingsOf(routing.organisations(), routing.keys()));
    for (OrganisationDefinition organisation : routing.organisations()) {
      if (organisation.requestsPerSecond() <= 0 && organisation.tokensPerSecond() <= 0) {
        double rate = Math.min(organisation.requestsPerSecond(), organisation.tokensPerSecond());
        findings.add(
            new Finding(
                FindingKind.TOLERATED,
                Entries.of(organisation),
                "requestsPerSecond",
                Double.toString(rate),
                "more than 0; other rates count as no limit"));
      }
    }
    boolean hasKey = routing.organisations().stream().anyMatch(one -> !one.tokenHashes().isEmpty());
    boolean needsKey = routing.routes().all().stream().anyMatch(route -> !route.anonymous());
    if (routing.isKeyed() && needsKey && !hasKey) {
      findings.add(
          new Finding(
              FindingKind.NOT_SERVED,
              new EntryKey(Entries.ORGANISATION, EntryKey.ALL),
              "tokenHashes",
              "none",
              "a key of any organisation, since there are routes that require one"));
    }
  }

  private void add(FindingKind kind, Route route, String field, String value, String allowed) {
    findings.add(new Finding(kind, entry(route), field, value, allowed));
  }

  private static EntryKey entry(Route route) {
    return new EntryKey(Entries.ROUTE, route.name());
  }
}
