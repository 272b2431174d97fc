package org.marjoramsail.core.configuration.check;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.marjoramsail.core.configuration.Configuration;
import org.marjoramsail.core.configuration.ConfigurationChecks;
import org.marjoramsail.core.configuration.ConfigurationProblem;
import org.marjoramsail.core.configuration.ModelDefinition;
import org.marjoramsail.core.configuration.OrganisationDefinition;
import org.marjoramsail.core.configuration.OrganisationKeys;
import org.marjoramsail.core.configuration.RuleDefinition;
import org.marjoramsail.core.configuration.ServiceDefinition;
import org.marjoramsail.core.configuration.ServiceKind;
import org.marjoramsail.core.configuration.UpstreamDefinition;
import org.marjoramsail.core.model.UpstreamRole;

/** Checks a configuration as daemons do when they accept a change, and beyond that. */
public final class ConfigurationCheck {

  private final Configuration configuration;
  private final Map<String, Map<UpstreamRole, Integer>> slotsByService = new HashMap<>();
  private final List<Finding> findings = new ArrayList<>();

  private ConfigurationCheck(Configuration configuration) {
    this.configuration = configuration;
    for (UpstreamDefinition upstream : configuration.upstreams()) {
      if (!upstream.drained()) {
        slotsByService
            .computeIfAbsent(upstream.service(), name -> new EnumMap<>(UpstreamRole.class))
            .merge(upstream.role(), upstream.slots(), Integer::sum);
      }
    }
  }

  /** Returns all findings in their order. */
  public static List<Finding> findingsOf(Configuration configuration) {
    ConfigurationCheck check = new ConfigurationCheck(configuration);
    for (ConfigurationProblem problem : ConfigurationChecks.problemsOf(configuration)) {
      check.findings.add(finding(problem));
    }
    check.findings.addAll(RuleOrderCheck.findingsOf(configuration.rules()));
    configuration.rules().forEach(check::checkRule);
    check.checkServices();
    check.checkModels();
    check.findings.addAll(
        KeyCheck.findingsOf(
            configuration.organisations(), new OrganisationKeys(configuration.organisations())));
    return check.findings.stream().sorted().toList();
  }

  private static Finding finding(ConfigurationProblem problem) {
    return new Finding(
        FindingKind.INVALID,
        Entries.of(problem.object()),
        problem.field(),
        problem.value(),
        problem.allowed(),
        problem.nearest());
  }

  private void checkRule(RuleDefinition rule) {
    if (rule.perTokenTargetMillis() > rule.deadlineMillis()) {
      findings.add(
          new Finding(
              FindingKind.CONTRADICTION,
              Entries.of(rule),
              "perTokenTargetMillis",
              Long.toString(rule.perTokenTargetMillis()),
              "at most the deadline of " + rule.deadlineMillis() + " ms"));
    }
  }

  private void checkServices() {
    long concurrencyForAll = 0;
    Map<String, Long> concurrency = new HashMap<>();
    for (OrganisationDefinition organisation : configuration.organisations()) {
      long limit = organisation.maximumConcurrency();
      if (organisation.services().isEmpty()) {
        concurrencyForAll += limit;
      }
      new HashSet<>(organisation.services())
          .forEach(service -> concurrency.merge(service, limit, Long::sum));
    }
    for (ServiceDefinition service : configuration.services()) {
      Map<UpstreamRole, Integer> slots = slotsByService.getOrDefault(service.name(), Map.of());
      boolean isComplete = true;
      for (UpstreamRole role : requiredRoles(service.kind())) {
        if (!slots.containsKey(role)) {
          isComplete = false;
          String allowed = "at least one upstream of the role " + role + " that is not drained";
          findings.add(
              new Finding(
                  FindingKind.INCOMPLETE, Entries.of(service), "upstreams", "none", allowed));
        }
      }
      long sum = concurrencyForAll + concurrency.getOrDefault(service.name(), 0L);
      if (isComplete) {
        checkConcurrency(service, sum, slots.get(outputRole(service.kind())));
      }
    }
  }

  private void checkConcurrency(ServiceDefinition service, long sum, int slots) {
    if (sum > slots) {
      String allowed =
          "a sum of the limits of the organisations that may use it of at most "
              + slots
              + ", the slots of its upstreams";
      findings.add(
          new Finding(
              FindingKind.CONTRADICTION,
              Entries.of(service),
              "maximumConcurrency",
              Long.toString(sum),
              allowed));
    }
  }

  private void checkModels() {
    Set<String> used = new HashSet<>();
    configuration.services().forEach(service -> service.model().ifPresent(used::add));
    for (ModelDefinition model : configuration.models()) {
      if (!used.contains(model.name())) {
        findings.add(
            new Finding(
                FindingKind.UNUSED,
                Entries.of(model),
                "",
                model.name(),
                "a model that a service names"));
      }
    }
  }

  private static List<UpstreamRole> requiredRoles(ServiceKind kind) {
    return kind == ServiceKind.PLAIN
        ? List.of(UpstreamRole.PLAIN)
        : List.of(UpstreamRole.PREFILL, UpstreamRole.DECODE);
  }

  /** Returns the role whose slots limit the number of concurrent requests. */
  private static UpstreamRole outputRole(ServiceKind kind) {
    return kind == ServiceKind.PLAIN ? UpstreamRole.PLAIN : UpstreamRole.DECODE;
  }
}
