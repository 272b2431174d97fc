package org.marjoramsail.core.configuration.check;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import org.marjoramsail.core.configuration.RuleDefinition;

/**
 * Finds rules that no request reaches. The first rule of a service that matches a request applies,
 * so a rule behind one that matches the same requests never does.
 */
final class RuleOrderCheck {

  private static final String ANY_METHOD = "";

  /** Names of the first rules by service, method and path prefix. */
  private final Map<Scope, Map<String, String>> firstByPrefix = new HashMap<>();

  private RuleOrderCheck() {}

  private record Scope(String service, String method) {}

  static List<Finding> findingsOf(List<RuleDefinition> rules) {
    RuleOrderCheck check = new RuleOrderCheck();
    List<Finding> findings = new ArrayList<>();
    for (RuleDefinition rule : rules) {
      check.earlierMatch(rule).ifPresent(earlier -> findings.add(finding(rule, earlier)));
      check
          .firstByPrefix
          .computeIfAbsent(scope(rule), scope -> new HashMap<>())
          .putIfAbsent(rule.pathPrefix().orElse(""), rule.name());
    }
    return findings;
  }

  /** Returns an earlier rule that matches every request that this one matches. */
  private Optional<String> earlierMatch(RuleDefinition rule) {
    Map<String, String> sameMethod = firstByPrefix.getOrDefault(scope(rule), Map.of());
    Map<String, String> anyMethod =
        firstByPrefix.getOrDefault(new Scope(rule.service(), ANY_METHOD), Map.of());
    String prefix = rule.pathPrefix().orElse("");
    for (int length = 0; length <= prefix.length(); length++) {
      String wider = prefix.substring(0, length);
      Optional<String> earlier =
          Optional.ofNullable(anyMethod.get(wider))
              .or(() -> Optional.ofNullable(sameMethod.get(wider)));
      if (earlier.isPresent()) {
        return earlier;
      }
    }
    return Optional.empty();
  }

  private static Scope scope(RuleDefinition rule) {
    return new Scope(
        rule.service(),
        rule.method().map(method -> method.toUpperCase(Locale.ROOT)).orElse(ANY_METHOD));
  }

  private static Finding finding(RuleDefinition rule, String earlier) {
    return new Finding(
        FindingKind.NEVER_MATCHES,
        Entries.of(rule),
        "pathPrefix",
        rule.pathPrefix().orElse(""),
        "a place before rule/" + earlier + ", which matches the same requests");
  }
}
