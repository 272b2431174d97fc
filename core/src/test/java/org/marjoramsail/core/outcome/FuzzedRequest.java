package org.marjoramsail.core.outcome;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.marjoramsail.core.failure.Refusal;
import org.marjoramsail.core.failure.RefusalReason;
import org.marjoramsail.core.failure.RunState;
import org.marjoramsail.core.model.RequestId;
import org.marjoramsail.core.placement.AttemptPhase;

/** A request of the simulation, with what its caller received and how often it actually ran. */
final class FuzzedRequest {

  final RequestLifecycle lifecycle;
  final boolean poisonous;
  final List<String> text = new ArrayList<>();
  final List<LifecycleAction> finalResponses = new ArrayList<>();
  final Map<Integer, Integer> endReports = new HashMap<>();
  final List<Integer> granted = new ArrayList<>();
  final Set<Integer> sent = new HashSet<>();
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

  String expectedToken(int index) {
    return lifecycle.profile().fingerprint() + "/" + index;
  }

  /** Checks each message to the caller or to placement when it is sent. */
  void observe(LifecycleAction action) {
    if (action instanceof LifecycleAction.EmitToken token) {
      assertThat(finalResponses).as("no token after the final response").isEmpty();
      assertThat(token.index()).as("tokens in order").isEqualTo(text.size());
      assertThat(token.text())
          .as("a token of this request")
          .isEqualTo(expectedToken(token.index()));
      text.add(token.text());
    } else if (action instanceof LifecycleAction.Complete) {
      finalResponses.add(action);
      assertThat(text).as("the complete output").hasSize(lifecycle.profile().outputTokens());
    } else if (action instanceof LifecycleAction.DeliverResponse) {
      finalResponses.add(action);
      assertThat(runs).as("a response requires a run").isPositive();
    } else if (action instanceof LifecycleAction.Refuse refuse) {
      finalResponses.add(action);
      if (refuse.refusal().runState() == RunState.NOT_RUN) {
        assertThat(runs).as("runs of a request that is reported as not run").isZero();
      }
    } else if (action instanceof LifecycleAction.Report report
        && report.report().phase() == AttemptPhase.ENDED) {
      endReports.merge(report.report().attempt(), 1, Integer::sum);
      reservedAlone = Optional.empty();
    } else if (action instanceof LifecycleAction.SendPrefill send) {
      sent.add(send.attempt());
    } else if (action instanceof LifecycleAction.SendDecode send) {
      sent.add(send.attempt());
    } else if (action instanceof LifecycleAction.SendPlain send) {
      sent.add(send.attempt());
    } else if (action instanceof LifecycleAction.Withdraw && waitingAttempt == 0) {
      observeWithdrawnGrant(granted.get(granted.size() - 1));
    }
  }

  private void observeWithdrawnGrant(int attempt) {
    assertThat(sent).as("attempts whose calls were sent").doesNotContain(attempt);
    endReports.merge(attempt, 1, Integer::sum);
    reservedAlone = Optional.empty();
  }

  /** Returns whether the upstream is reserved for this request alone, as a suspect. */
  boolean isReservedAlone(FuzzedUpstream upstream) {
    return lifecycle.state() != LifecycleState.ENDED && reservedAlone.equals(Optional.of(upstream));
  }

  /** Counts an actual run of the request. */
  void recordRun() {
    runs++;
    if (!lifecycle.profile().repeatability().isResendable()) {
      assertThat(runs).as("runs of a request that may run once").isEqualTo(1);
    }
  }

  boolean isQuarantined() {
    return finalResponses.stream()
        .anyMatch(
            end ->
                end instanceof LifecycleAction.Refuse refuse
                    && refuse.refusal().reason() == RefusalReason.QUARANTINED);
  }

  /** Checks the request once nothing is in flight. */
  void checkWhenSettled() {
    assertThat(lifecycle.isSettled()).as("settled: " + lifecycle.state()).isTrue();
    assertThat(finalResponses)
        .as("one final response")
        .hasSizeBetween(callerDisconnected ? 0 : 1, 1);
    assertThat(endReports.keySet())
        .as("ended attempts")
        .containsExactlyInAnyOrderElementsOf(granted);
    assertThat(endReports.values()).as("reports of an end").allMatch(count -> count == 1);
  }

  static Refusal notRun(RefusalReason reason) {
    return Refusal.notRun(reason, "fuzzed");
  }
}
