package org.marjoramsail.daemon.caller;

import java.util.Optional;
import java.util.Set;
import org.marjoramsail.core.configuration.Configuration;
import org.marjoramsail.core.configuration.RuleDefinition;
import org.marjoramsail.core.configuration.ServiceDefinition;
import org.marjoramsail.core.configuration.ServiceKind;
import org.marjoramsail.core.configuration.StoreOutagePolicy;
import org.marjoramsail.core.model.Repeatability;
import org.marjoramsail.core.model.ServiceClass;

/**
 * Finds the first rule that matches a request, or a default rule that never allows a second run of
 * a request that changes state.
 */
final class RuleMatcher {

  private static final String DEFAULT_NAME = "default";
  private static final long DEFAULT_FIRST_TOKEN_TARGET_MILLIS = 1_000;
  private static final long DEFAULT_PER_TOKEN_TARGET_MILLIS = 100;
  private static final long DEFAULT_DEADLINE_MILLIS = 60_000;
  private static final Set<String> SAFE_METHODS = Set.of("GET", "HEAD", "OPTIONS");

  private RuleMatcher() {}

  static RuleDefinition match(
      Configuration configuration, ServiceDefinition service, String method, String path) {
    return configuration.rulesOf(service.name()).stream()
        .filter(rule -> isMatch(rule, method, path))
        .findFirst()
        .orElseGet(() -> defaultRule(service, method));
  }

  private static boolean isMatch(RuleDefinition rule, String method, String path) {
    return rule.method().map(requiredMethod -> requiredMethod.equalsIgnoreCase(method)).orElse(true)
        && rule.pathPrefix().map(path::startsWith).orElse(true);
  }

  private static RuleDefinition defaultRule(ServiceDefinition service, String method) {
    return new RuleDefinition(
        DEFAULT_NAME,
        service.name(),
        Optional.empty(),
        Optional.empty(),
        ServiceClass.STANDARD,
        defaultRepeatability(service.kind(), method),
        DEFAULT_FIRST_TOKEN_TARGET_MILLIS,
        DEFAULT_PER_TOKEN_TARGET_MILLIS,
        DEFAULT_DEADLINE_MILLIS,
        StoreOutagePolicy.REFUSE);
  }

  private static Repeatability defaultRepeatability(ServiceKind kind, String method) {
    if (kind == ServiceKind.MODEL) {
      return Repeatability.REPEATABLE;
    }
    return SAFE_METHODS.contains(method) ? Repeatability.IDEMPOTENT : Repeatability.AT_MOST_ONCE;
  }
}
