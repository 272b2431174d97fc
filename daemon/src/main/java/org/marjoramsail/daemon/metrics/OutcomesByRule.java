package org.marjoramsail.daemon.metrics;

import io.micrometer.core.instrument.MeterRegistry;
import java.util.HashSet;
import java.util.Locale;
import java.util.Set;
import org.marjoramsail.core.outcome.PromptSize;
import org.marjoramsail.core.outcome.RequestProfile;

/** Counts the outcomes of requests by rule and by the length of the prompt. */
final class OutcomesByRule {

  /** Outcome of a request, as the {@code outcome} tag. */
  enum Outcome {
    ACCEPTED,
    WITHIN_TARGETS,
    LATE,
    REFUSED;

    private String code() {
      return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
  }

  /** Limits the memory of the counters where a configuration has many rules. */
  private static final int MAXIMUM_RULES = 64;

  private static final String OTHER_RULES = "other";

  private final MeterRegistry registry;
  private final Set<String> countedRules = new HashSet<>();

  OutcomesByRule(MeterRegistry registry) {
    this.registry = registry;
  }

  void count(RequestProfile profile, Outcome outcome) {
    registry
        .counter(
            "marjoramsail.requests.by.rule",
            "rule",
            tagOf(profile.rule()),
            "prompt",
            PromptSize.of(profile.promptTokens()).code(),
            "outcome",
            outcome.code())
        .increment();
  }

  private synchronized String tagOf(String rule) {
    boolean isCounted =
        countedRules.contains(rule)
            || (countedRules.size() < MAXIMUM_RULES && countedRules.add(rule));
    return isCounted ? rule : OTHER_RULES;
  }
}
