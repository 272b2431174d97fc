package org.marjoramsail.daemon.metrics;

import static org.assertj.core.api.Assertions.assertThat;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.marjoramsail.core.model.DaemonId;
import org.marjoramsail.core.model.Repeatability;
import org.marjoramsail.core.model.RequestId;
import org.marjoramsail.core.model.ServiceClass;
import org.marjoramsail.core.outcome.RequestProfile;
import org.marjoramsail.daemon.metrics.OutcomesByRule.Outcome;

/** Tests the counters by rule and length of the prompt. */
class OutcomesByRuleTest {

  private final SimpleMeterRegistry registry = new SimpleMeterRegistry();
  private final OutcomesByRule outcomes = new OutcomesByRule(registry);

  @Test
  void requestsAreCountedByRuleAndPrompt() {
    outcomes.count(profile("summaries", 16_384), Outcome.REFUSED);
    outcomes.count(profile("summaries", 16_385), Outcome.REFUSED);
    outcomes.count(profile("status", 0), Outcome.WITHIN_TARGETS);

    assertThat(count("summaries", "up-to-16k", "refused")).isEqualTo(1);
    assertThat(count("summaries", "over-16k", "refused")).isEqualTo(1);
    assertThat(count("status", "none", "within-targets")).isEqualTo(1);
  }

  /** Guards against a configuration of many rules whose counters fill the memory of the process. */
  @Test
  void rulesBeyondTheMaximumShareTheirCounters() {
    for (int number = 0; number < 1_000; number++) {
      outcomes.count(profile("rule-" + number, 0), Outcome.ACCEPTED);
    }

    assertThat(registry.getMeters()).hasSize(65);
    assertThat(count("other", "none", "accepted")).isEqualTo(936);
  }

  private double count(String rule, String prompt, String outcome) {
    return registry
        .get("marjoramsail.requests.by.rule")
        .tags("rule", rule, "prompt", prompt, "outcome", outcome)
        .counter()
        .count();
  }

  private static RequestProfile profile(String rule, int promptTokens) {
    return new RequestProfile(
        new RequestId("request"),
        new DaemonId("entry", 1),
        "lector",
        "callers",
        rule,
        ServiceClass.TIMELY,
        Repeatability.AT_MOST_ONCE,
        promptTokens > 0,
        false,
        promptTokens,
        100,
        List.of(),
        0,
        0,
        0,
        0);
  }
}
