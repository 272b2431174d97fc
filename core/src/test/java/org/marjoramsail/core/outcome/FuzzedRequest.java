package org.marjoramsail.core.outcome;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.marjoramsail.core.failure.Refusal;
import org.marjoramsail.core.failure.RefusalReason;
import org.marjoramsail.core.failure.RunState;
import org.marjoramsail.core.model.RequestId;
import org.marjoramsail.core.placement.AttemptPhase;

/** One request of the fuzzed world, with what its caller saw and how often it truly ran. */
final class FuzzedRequest {

  final RequestLifecycle lifecycle;
  final boolean poisonous;
  final List<String> text = new ArrayList<>();
  final List<LifecycleAction> ends = new ArrayList<>();
  final Map<Integer, Integer> endReports = new HashMap<>();
  final List<Integer> granted = new ArrayList<>();
  Optional<FuzzedUpstream> reservedAlone = Optional.empty();
  int waitingAttempt;
  int runs;
  boolean callerDisconnected;

  FuzzedRequest(RequestLifecycle lifecycle, boolean poisonous) {
    this.lifecycle = lifecycle;
    this.poisonous = poisonous;
  }

  RequestId id() {
    return lifecycle.profile().id();
  }

  String truth(int index) {
    return lifecycle.profile().fingerprint() + "/" + index;
  }

  /** Checks what the caller and placement are told, at the moment that they are told. */
  void observe(LifecycleAction action) {
    if (action instanceof LifecycleAction.EmitToken token) {
      assertThat(ends).as("no token after the end").isEmpty();
      assertThat(token.index()).as("tokens in order").isEqualTo(text.size());
      assertThat(token.text()).as("the caller's own token").isEqualTo(truth(token.index()));
      text.add(token.text());
    } else if (action instanceof LifecycleAction.Complete) {
      ends.add(action);
      assertThat(text).as("the whole answer").hasSize(lifecycle.profile().outputTokens());
    } else if (action instanceof LifecycleAction.DeliverResponse) {
      ends.add(action);
      assertThat(runs).as("an answer comes from a run").isPositive();
    } else if (action instanceof LifecycleAction.Refuse refuse) {
      ends.add(action);
      if (refuse.refusal().runState() == RunState.NOT_RUN) {
        assertThat(runs).as("runs of a request that is called not run").isZero();
      }
    } else if (action instanceof LifecycleAction.Report report
        && report.report().phase() == AttemptPhase.ENDED) {
      endReports.merge(report.report().attempt(), 1, Integer::sum);
      reservedAlone = Optional.empty();
    }
  }

  /** Whether it has an upstream for itself, as a suspect. */
  boolean isReservedAlone(FuzzedUpstream upstream) {
    return lifecycle.state() != LifecycleState.ENDED && reservedAlone.equals(Optional.of(upstream));
  }

  /** Counts a true run of it. */
  void ran() {
    runs++;
    if (!lifecycle.profile().repeatability().isResendable()) {
      assertThat(runs).as("runs of a request that may run once").isEqualTo(1);
    }
  }

  boolean isQuarantined() {
    return ends.stream()
        .anyMatch(
            end ->
                end instanceof LifecycleAction.Refuse refuse
                    && refuse.refusal().reason() == RefusalReason.QUARANTINED);
  }

  /** Checks it once nothing is under way. */
  void checkAtTheEnd() {
    assertThat(lifecycle.isSettled()).as("settled: " + lifecycle.state()).isTrue();
    assertThat(ends).as("one end").hasSizeBetween(callerDisconnected ? 0 : 1, 1);
    assertThat(endReports.keySet())
        .as("ended attempts")
        .containsExactlyInAnyOrderElementsOf(granted);
    assertThat(endReports.values()).as("reports of an end").allMatch(count -> count == 1);
  }

  static Refusal notRun(RefusalReason reason) {
    return Refusal.notRun(reason, "fuzzed");
  }
}
