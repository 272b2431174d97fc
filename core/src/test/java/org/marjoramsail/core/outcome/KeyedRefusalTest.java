package org.marjoramsail.core.outcome;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.marjoramsail.core.failure.RunState;
import org.marjoramsail.core.model.DaemonId;
import org.marjoramsail.core.model.Repeatability;
import org.marjoramsail.core.model.RequestId;
import org.marjoramsail.core.model.ServiceClass;

final class KeyedRefusalTest {

  private static final long DEADLINE_MILLIS = 10_000;

  // A neighbour is told that her ballot was not run, though it counts. In order: her first try
  // runs, its answer is lost with the daemon, she sends again with her key, the store is slow and
  // the deadline passes before the claim could be read. Cause: "this request was not sent" was
  // taken for "not run".
  @Test
  void aKeyedRequestThatEndsBeforeItsClaimIsRecordedIsNotCalledNotRun() {
    RequestLifecycle ballot = lifecycle(true);
    ballot.handle(new LifecycleEvent.Started(), 0);

    assertThat(endOf(ballot.handle(new LifecycleEvent.TimePassed(), DEADLINE_MILLIS)))
        .isEqualTo(RunState.UNKNOWN);
  }

  @Test
  void aKeyedRequestWhoseClaimIsRecordedAndThatWasNeverSentIsCalledNotRun() {
    RequestLifecycle ballot = lifecycle(true);
    ballot.handle(new LifecycleEvent.Started(), 0);
    ballot.handle(new LifecycleEvent.ClaimRecorded(), 1);

    assertThat(endOf(ballot.handle(new LifecycleEvent.TimePassed(), DEADLINE_MILLIS)))
        .isEqualTo(RunState.NOT_RUN);
  }

  @Test
  void aRequestWithoutAKeyThatWasNeverSentIsCalledNotRun() {
    RequestLifecycle ballot = lifecycle(false);
    ballot.handle(new LifecycleEvent.Started(), 0);

    assertThat(endOf(ballot.handle(new LifecycleEvent.TimePassed(), DEADLINE_MILLIS)))
        .isEqualTo(RunState.NOT_RUN);
  }

  private static RunState endOf(List<LifecycleAction> actions) {
    return actions.stream()
        .filter(LifecycleAction.Refuse.class::isInstance)
        .map(action -> ((LifecycleAction.Refuse) action).refusal().runState())
        .findFirst()
        .orElseThrow();
  }

  private static RequestLifecycle lifecycle(boolean claimed) {
    RequestProfile profile =
        new RequestProfile(
            new RequestId("ballot-1"),
            new DaemonId("entry-1", 1),
            "plataforma-votacion",
            "commune",
            "ballots",
            ServiceClass.STANDARD,
            Repeatability.AT_MOST_ONCE,
            false,
            claimed,
            0,
            0,
            List.of(),
            7,
            0,
            1_000,
            DEADLINE_MILLIS);
    return new RequestLifecycle(
        profile,
        LifecyclePolicy.defaults(),
        new RetryBudget(10),
        new Quarantine(600_000, 2_000, 100),
        new Invariants(Invariants.Mode.THROW),
        new Random(1));
  }
}
