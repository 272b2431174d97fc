package org.marjoramsail.core.configuration;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Pattern;
import org.marjoramsail.core.configuration.ConfigurationProblem.Kind;
import org.marjoramsail.core.model.UpstreamRole;

/** Validates a complete configuration and collects all of its problems. */
public final class ConfigurationChecks {

  private static final Pattern NAME = Pattern.compile("[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?");
  private static final String NAME_RULE =
      "1 to 63 lower-case letters, digits, dots and hyphens, a letter or digit at each end";
  private static final Pattern VERSION = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,62}");
  private static final Pattern ADDRESS =
      Pattern.compile(
          "((25[0-5]|2[0-4]\\d|1?\\d?\\d)(\\.(?!$)|$)){4}|[0-9a-fA-F:]*:[0-9a-fA-F:.]*");
  private static final Pattern TOKEN_HASH = Pattern.compile("[0-9a-f]{64}");
  private static final int HIGHEST_PORT = 65_535;
  private static final int MAXIMUM_SLOTS = 4_096;
  private static final long MAXIMUM_TARGET_MILLIS = 7L * 24 * 60 * 60 * 1000;

  private final Configuration configuration;
  private final Map<ObjectKind, Set<String>> names = new HashMap<>();
  private final List<ConfigurationProblem> problems = new ArrayList<>();

  private ConfigurationChecks(Configuration configuration) {
    this.configuration = configuration;
  }

  /** Returns all problems of a configuration; empty if it is valid. */
  public static List<ConfigurationProblem> problemsOf(Configuration configuration) {
    ConfigurationChecks checks = new ConfigurationChecks(configuration);
    for (ObjectKind kind : ObjectKind.values()) {
      checks.checkNames(kind);
    }
    configuration.services().forEach(checks::checkService);
    configuration.models().forEach(checks::checkModel);
    configuration.upstreams().forEach(checks::checkUpstream);
    checks.checkAddresses();
    configuration.rules().forEach(checks::checkRule);
    configuration.organisations().forEach(checks::checkOrganisation);
    return checks.problems;
  }

  private void checkNames(ObjectKind kind) {
    Set<String> seen = new HashSet<>();
    for (ConfigurationObject object : kind.in(configuration)) {
      String name = object.key().name();
      require(NAME.matcher(name).matches(), object, "name", name, NAME_RULE);
      if (!seen.add(name)) {
        add(Kind.DUPLICATE, object, "name", name, "a name that no other has", Optional.empty());
      }
    }
    names.put(kind, seen);
  }

  private void checkService(ServiceDefinition service) {
    if (service.kind() == ServiceKind.PLAIN) {
      require(
          service.model().isEmpty(),
          service,
          "model",
          service.model().orElse(""),
          "none for a plain service");
      return;
    }
    if (service.model().isEmpty()) {
      add(
          Kind.BAD_VALUE,
          service,
          "model",
          "",
          "the name of a model, since its kind is MODEL",
          Optional.empty());
    }
    service.model().ifPresent(model -> requireExisting(service, "model", ObjectKind.MODEL, model));
  }

  private void checkModel(ModelDefinition model) {
    String version = model.version();
    String allowed = "1 to 63 letters, digits, dots, hyphens and underscores";
    require(VERSION.matcher(version).matches(), model, "version", version, allowed);
    for (String adapter : model.adapters()) {
      require(NAME.matcher(adapter).matches(), model, "adapters", adapter, NAME_RULE);
    }
    if (new HashSet<>(model.adapters()).size() < model.adapters().size()) {
      String value = String.join(", ", model.adapters());
      add(Kind.DUPLICATE, model, "adapters", value, "each adapter once", Optional.empty());
    }
    requireAtLeast(model, "kvBytesPerToken", model.kvBytesPerToken(), 0);
  }

  private void checkUpstream(UpstreamDefinition upstream) {
    requireExisting(upstream, "service", ObjectKind.SERVICE, upstream.service());
    configuration
        .service(upstream.service())
        .ifPresent(service -> checkRole(upstream, service.kind()));
    String address = upstream.address();
    require(ADDRESS.matcher(address).matches(), upstream, "address", address, "an IP number");
    requireBetween(upstream, "port", upstream.port(), 1, HIGHEST_PORT);
    requireBetween(upstream, "slots", upstream.slots(), 1, MAXIMUM_SLOTS);
    requireName(upstream, "availabilityZone", upstream.availabilityZone());
    requireName(upstream, "region", upstream.region());
  }

  private void checkRole(UpstreamDefinition upstream, ServiceKind kind) {
    boolean plain = upstream.role() == UpstreamRole.PLAIN;
    String allowed = kind == ServiceKind.PLAIN ? "PLAIN" : "PREFILL or DECODE";
    boolean matches = plain == (kind == ServiceKind.PLAIN);
    require(matches, upstream, "role", upstream.role().name(), allowed + " for its service");
  }

  private void checkAddresses() {
    Map<String, UpstreamDefinition> seen = new HashMap<>();
    for (UpstreamDefinition upstream : configuration.upstreams()) {
      String endpoint = upstream.address() + " port " + upstream.port();
      UpstreamDefinition other = seen.putIfAbsent(endpoint, upstream);
      if (other != null) {
        String allowed = "an address that no other upstream has; " + other.key() + " has it";
        add(Kind.DUPLICATE, upstream, "address", endpoint, allowed, Optional.empty());
      }
    }
  }

  private void checkRule(RuleDefinition rule) {
    requireExisting(rule, "service", ObjectKind.SERVICE, rule.service());
    rule.pathPrefix()
        .ifPresent(
            prefix ->
                require(
                    prefix.startsWith("/"),
                    rule,
                    "pathPrefix",
                    prefix,
                    "a path that starts with \"/\""));
    rule.method()
        .ifPresent(
            method ->
                require(
                    method.matches("[A-Z]{1,16}"), rule, "method", method, "upper-case letters"));
    requireTarget(rule, "firstTokenTargetMillis", rule.firstTokenTargetMillis());
    requireTarget(rule, "perTokenTargetMillis", rule.perTokenTargetMillis());
    requireTarget(rule, "deadlineMillis", rule.deadlineMillis());
    if (!rule.serviceClass().mayWait() && rule.firstTokenTargetMillis() > rule.deadlineMillis()) {
      String value = Long.toString(rule.firstTokenTargetMillis());
      String allowed = "at most the deadline of " + rule.deadlineMillis() + " ms";
      require(false, rule, "firstTokenTargetMillis", value, allowed);
    }
  }

  private void checkOrganisation(OrganisationDefinition organisation) {
    for (String hash : organisation.tokenHashes()) {
      boolean valid = TOKEN_HASH.matcher(hash).matches();
      require(valid, organisation, "tokenHashes", hash, "64 hexadecimal digits in lower case");
    }
    for (String service : organisation.services()) {
      requireExisting(organisation, "services", ObjectKind.SERVICE, service);
    }
    requirePositive(organisation, "weight", organisation.weight());
    requirePositive(organisation, "requestsPerSecond", organisation.requestsPerSecond());
    requirePositive(organisation, "tokensPerSecond", organisation.tokensPerSecond());
    requireAtLeast(organisation, "maximumConcurrency", organisation.maximumConcurrency(), 1);
  }

  private void requireExisting(
      ConfigurationObject object, String field, ObjectKind kind, String referenced) {
    Set<String> known = names.getOrDefault(kind, Set.of());
    if (!known.contains(referenced)) {
      String allowed = "the name of a " + kind.code() + " that exists";
      Optional<String> nearest = NearestName.of(referenced, known);
      add(Kind.UNKNOWN_REFERENCE, object, field, referenced, allowed, nearest);
    }
  }

  private void requireName(ConfigurationObject object, String field, String value) {
    require(NAME.matcher(value).matches(), object, field, value, NAME_RULE);
  }

  private void requireTarget(ConfigurationObject object, String field, long millis) {
    requireBetween(object, field, millis, 1, MAXIMUM_TARGET_MILLIS);
  }

  private void requireAtLeast(ConfigurationObject object, String field, long value, long least) {
    require(value >= least, object, field, Long.toString(value), "at least " + least);
  }

  private void requireBetween(
      ConfigurationObject object, String field, long value, long least, long most) {
    boolean valid = value >= least && value <= most;
    require(valid, object, field, Long.toString(value), "from " + least + " to " + most);
  }

  private void requirePositive(ConfigurationObject object, String field, double value) {
    boolean valid = value > 0 && Double.isFinite(value);
    require(valid, object, field, Double.toString(value), "a number more than 0");
  }

  private void require(
      boolean valid, ConfigurationObject object, String field, String value, String allowed) {
    if (!valid) {
      add(Kind.BAD_VALUE, object, field, value, allowed, Optional.empty());
    }
  }

  private void add(
      Kind kind,
      ConfigurationObject object,
      String field,
      String value,
      String allowed,
      Optional<String> nearest) {
    problems.add(new ConfigurationProblem(kind, object.key(), field, value, allowed, nearest));
  }
}
