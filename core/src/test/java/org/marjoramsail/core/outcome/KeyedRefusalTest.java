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

  /**
   * Guards against a retry with the same key that is reported as not run although an earlier
   * request with that key ran. Without a recorded claim the run state is unknown.
   */
  @Test
  void aKeyedRequestThatEndsBeforeItsClaimIsRecordedIsNotReportedAsNotRun() {
    RequestLifecycle request = lifecycle(true);
    request.handle(new LifecycleEvent.Started(), 0);

    assertThat(runStateOfRefusal(request.handle(new LifecycleEvent.TimePassed(), DEADLINE_MILLIS)))
        .isEqualTo(RunState.UNKNOWN);
  }

  @Test
  void aKeyedRequestWhoseClaimIsRecordedAndThatWasNeverSentIsReportedAsNotRun() {
    RequestLifecycle request = lifecycle(true);
    request.handle(new LifecycleEvent.Started(), 0);
    request.handle(new LifecycleEvent.ClaimRecorded(), 1);

    assertThat(runStateOfRefusal(request.handle(new LifecycleEvent.TimePassed(), DEADLINE_MILLIS)))
        .isEqualTo(RunState.NOT_RUN);
  }

  @Test
  void aRequestWithoutAKeyThatWasNeverSentIsReportedAsNotRun() {
    RequestLifecycle request = lifecycle(false);
    request.handle(new LifecycleEvent.Started(), 0);

    assertThat(runStateOfRefusal(request.handle(new LifecycleEvent.TimePassed(), DEADLINE_MILLIS)))
        .isEqualTo(RunState.NOT_RUN);
  }

  private static RunState runStateOfRefusal(List<LifecycleAction> actions) {
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
        new Quarantine(600_000, 2_000, 100, QuarantineListener.NONE),
        new Invariants(Invariants.Mode.THROW),
        new Random(1));
  }
}
