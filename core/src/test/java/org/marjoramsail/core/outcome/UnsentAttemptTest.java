package org.marjoramsail.core.outcome;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.marjoramsail.core.model.DaemonId;
import org.marjoramsail.core.model.Repeatability;
import org.marjoramsail.core.model.RequestId;
import org.marjoramsail.core.model.ServiceClass;
import org.marjoramsail.core.model.UpstreamName;
import org.marjoramsail.core.placement.AttemptPhase;
import org.marjoramsail.core.placement.Grant;
import org.marjoramsail.core.placement.GrantMode;

/** Guards against grants that are charged although their callers left before anything was sent. */
final class UnsentAttemptTest {

  private static final RequestId ID = new RequestId("summary-1");
  private static final UpstreamName PREFILL = new UpstreamName("engine-prefill");
  private static final UpstreamName TARGET = new UpstreamName("engine-decode");
  private static final LifecycleAction WITHDRAWAL = new LifecycleAction.Withdraw(ID);
  private static final long LIFETIME_MILLIS = 900;

  private final Quarantine quarantine = new Quarantine(600_000, 500, 100, QuarantineListener.NONE);
  private final List<LifecycleAction> actions = new ArrayList<>();

  @Test
  void aGrantWhoseCallerLeavesBeforeItIsReadIsWithdrawn() {
    RequestLifecycle request = placed(true);

    handle(request, new LifecycleEvent.CallerDisconnected());

    assertThat(actions).contains(WITHDRAWAL);
    assertThat(endReports()).isEmpty();
  }

  @Test
  void aPlainCallWhoseCallerLeavesBeforeItsConnectionOpensIsWithdrawn() {
    RequestLifecycle request = placed(false);
    handle(request, granted(GrantMode.PLAIN, Optional.empty()));

    handle(request, callerLeft(TARGET));

    assertThat(actions).containsOnlyOnce(WITHDRAWAL);
    assertThat(endReports()).isEmpty();
  }

  @Test
  void aPrefillWhoseCallerLeavesBeforeItsConnectionOpensIsWithdrawn() {
    RequestLifecycle request = placed(true);
    handle(request, granted(GrantMode.DISAGGREGATED, Optional.of(PREFILL)));

    handle(request, callerLeft(PREFILL));

    assertThat(actions).containsOnlyOnce(WITHDRAWAL);
    assertThat(endReports()).isEmpty();
  }

  /** Guards against a prefill that was run and is not charged since its output was never asked. */
  @Test
  void anAttemptWhosePrefillWasSentIsReportedAsCancelled() {
    RequestLifecycle request = placed(true);
    handle(request, granted(GrantMode.DISAGGREGATED, Optional.of(PREFILL)));
    handle(request, new LifecycleEvent.Prefilled(1, "handle", 8, 0, 10, LIFETIME_MILLIS));

    handle(request, callerLeft(TARGET));

    assertThat(actions).doesNotContain(WITHDRAWAL);
    assertThat(endReports()).hasSize(1);
  }

  @Test
  void aCallThatWasSentIsReportedAsCancelledWhenItsCallerLeaves() {
    RequestLifecycle request = placed(false);
    handle(request, granted(GrantMode.PLAIN, Optional.empty()));

    handle(request, new LifecycleEvent.CallerDisconnected());

    assertThat(actions).doesNotContain(WITHDRAWAL);
    assertThat(endReports()).hasSize(1);
  }

  /**
   * Guards against limits that are charged for each grant that has to wait for a proof of a crash.
   */
  @Test
  void aGrantThatIsPostponedIsWithdrawn() {
    RequestLifecycle request = placed(false);
    for (UpstreamName upstream : List.of(PREFILL, TARGET)) {
      quarantine.started(upstream, new RequestId("same-content"), 1, 7);
      quarantine.connectionLost(upstream, new RequestId("same-content"), 1, 0);
    }

    handle(request, granted(GrantMode.PLAIN, Optional.empty()));

    assertThat(request.state()).isEqualTo(LifecycleState.BACKING_OFF);
    assertThat(actions).containsOnlyOnce(WITHDRAWAL);
    assertThat(endReports()).isEmpty();
  }

  private RequestLifecycle placed(boolean generation) {
    RequestProfile profile =
        new RequestProfile(
            ID,
            new DaemonId("entry-1", 1),
            "assistant",
            "council",
            "summaries",
            ServiceClass.STANDARD,
            Repeatability.IDEMPOTENT,
            generation,
            false,
            generation ? 8 : 0,
            generation ? 3 : 0,
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
    assertThat(request.state()).isEqualTo(LifecycleState.PLACING);
    return request;
  }

  private void handle(RequestLifecycle request, LifecycleEvent event) {
    actions.addAll(request.handle(event, 1));
  }

  private static LifecycleEvent granted(GrantMode mode, Optional<UpstreamName> prefill) {
    return new LifecycleEvent.Granted(new Grant(ID, 1, mode, prefill, TARGET, 10, 10));
  }

  private static LifecycleEvent callerLeft(UpstreamName upstream) {
    return new LifecycleEvent.UpstreamFailed(1, upstream, UpstreamFailure.CALLER_LEFT);
  }

  private List<LifecycleAction> endReports() {
    return actions.stream()
        .filter(
            action ->
                action instanceof LifecycleAction.Report report
                    && report.report().phase() == AttemptPhase.ENDED)
        .toList();
  }
}
