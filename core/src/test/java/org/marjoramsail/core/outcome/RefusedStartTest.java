package org.marjoramsail.core.outcome;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.marjoramsail.core.failure.Refusal;
import org.marjoramsail.core.failure.RefusalReason;
import org.marjoramsail.core.failure.RunState;
import org.marjoramsail.core.model.DaemonId;
import org.marjoramsail.core.model.Repeatability;
import org.marjoramsail.core.model.RequestId;
import org.marjoramsail.core.model.ServiceClass;
import org.marjoramsail.core.model.UpstreamName;
import org.marjoramsail.core.placement.Grant;
import org.marjoramsail.core.placement.GrantMode;

/** Guards against requests that wait until their daemon stops, or are broken off before that. */
final class RefusedStartTest {

  private static final RequestId ID = new RequestId("filing-1");
  private static final UpstreamName UPSTREAM = new UpstreamName("desk-1");
  private static final LifecycleEvent REFUSED =
      new LifecycleEvent.StartRefused(Refusal.notRun(RefusalReason.STOPPING, "stop"));

  private final Quarantine quarantine = new Quarantine(600_000, 500, 100, QuarantineListener.NONE);
  private final List<LifecycleAction> actions = new ArrayList<>();

  @Test
  void aRequestThatWaitsForAPlaceIsRefusedAsNotRun() {
    RequestLifecycle request = placed(Repeatability.AT_MOST_ONCE);

    handle(request, REFUSED);

    assertThat(request.state()).isEqualTo(LifecycleState.ENDED);
    assertThat(runStates()).containsExactly(RunState.NOT_RUN);
  }

  @Test
  void aRequestThatAnUpstreamRejectedIsRefusedAsNotRun() {
    RequestLifecycle request = placed(Repeatability.AT_MOST_ONCE);
    handle(request, granted());
    handle(request, new LifecycleEvent.UpstreamFailed(1, UPSTREAM, UpstreamFailure.FULL));

    handle(request, REFUSED);

    assertThat(runStates()).containsExactly(RunState.NOT_RUN);
  }

  @Test
  void aRequestThatRunsIsNotBrokenOff() {
    RequestLifecycle request = placed(Repeatability.AT_MOST_ONCE);
    handle(request, granted());

    handle(request, REFUSED);

    assertThat(request.state()).isEqualTo(LifecycleState.PLAIN_RUNNING);
    assertThat(runStates()).isEmpty();
  }

  /** Guards against a request without a promise that another attempt might still serve. */
  @Test
  void aRequestThatMayHaveRunIsTriedAgain() {
    RequestLifecycle request = placed(Repeatability.IDEMPOTENT);
    handle(request, granted());
    handle(request, new LifecycleEvent.UpstreamFailed(1, UPSTREAM, UpstreamFailure.CUT));

    handle(request, REFUSED);

    assertThat(request.state()).isNotEqualTo(LifecycleState.ENDED);
    assertThat(runStates()).isEmpty();
  }

  private RequestLifecycle placed(Repeatability repeatability) {
    RequestProfile profile =
        new RequestProfile(
            ID,
            new DaemonId("entry-1", 1),
            "desk",
            "council",
            "filings",
            ServiceClass.STANDARD,
            repeatability,
            false,
            false,
            0,
            0,
            List.of(),
            7,
            0,
            900,
            14_000);
    RequestLifecycle request =
        new RequestLifecycle(
            profile,
            LifecyclePolicy.defaults(),
            quarantine,
            new Invariants(Invariants.Mode.THROW),
            new Random(1));
    handle(request, new LifecycleEvent.Started());
    return request;
  }

  private void handle(RequestLifecycle request, LifecycleEvent event) {
    actions.addAll(request.handle(event, 1));
  }

  private static LifecycleEvent granted() {
    return new LifecycleEvent.Granted(
        new Grant(ID, 1, GrantMode.PLAIN, Optional.empty(), UPSTREAM, 10, 10));
  }

  /** Returns the run states with which the caller was refused. */
  private List<RunState> runStates() {
    return actions.stream()
        .filter(LifecycleAction.Refuse.class::isInstance)
        .map(action -> ((LifecycleAction.Refuse) action).refusal().runState())
        .toList();
  }
}
