package org.marjoramsail.daemon.request;

import static org.assertj.core.api.Assertions.assertThat;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.marjoramsail.core.failure.Refusal;
import org.marjoramsail.core.model.DaemonId;
import org.marjoramsail.core.model.Repeatability;
import org.marjoramsail.core.model.RequestId;
import org.marjoramsail.core.model.ServiceClass;
import org.marjoramsail.core.model.UpstreamName;
import org.marjoramsail.core.outcome.Completion;
import org.marjoramsail.core.outcome.Invariants;
import org.marjoramsail.core.outcome.LifecycleAction;
import org.marjoramsail.core.outcome.LifecycleEvent;
import org.marjoramsail.core.outcome.LifecyclePolicy;
import org.marjoramsail.core.outcome.Quarantine;
import org.marjoramsail.core.outcome.QuarantineListener;
import org.marjoramsail.core.outcome.RequestProfile;
import org.marjoramsail.core.outcome.UpstreamFailure;
import org.marjoramsail.core.placement.AttemptReport;
import org.marjoramsail.core.placement.Grant;
import org.marjoramsail.core.placement.GrantMode;
import org.marjoramsail.core.placement.PlacementRequest;
import org.marjoramsail.core.placement.PlacementResult;
import org.marjoramsail.core.placement.PlacementService;
import org.marjoramsail.daemon.metrics.RequestMetrics;
import org.marjoramsail.daemon.upstream.PlainResponse;

/** Requests whose callers have left, which the I/O layer has not reported yet. */
final class DepartedCallerTest {

  private static final UpstreamName UPSTREAM = new UpstreamName("desk-1");

  private final SimpleMeterRegistry meters = new SimpleMeterRegistry();
  private final List<PlacementRequest> placed = new ArrayList<>();
  private final List<RequestId> withdrawn = new ArrayList<>();
  private final List<AttemptReport> reports = new ArrayList<>();
  private final List<Integer> sent = new ArrayList<>();
  private final List<Refusal> refusals = new ArrayList<>();
  private Optional<Consumer<PlacementResult>> placement = Optional.empty();
  private Optional<Consumer<LifecycleEvent>> upstream = Optional.empty();
  private Optional<OpenCall> openCall = Optional.empty();
  private int closed;
  private boolean isPresent = true;

  private final Invariants invariants = new Invariants(Invariants.Mode.THROW);
  private final RequestRegistry registry =
      new RequestRegistry(
          new RequestDependencies(new RecordingPlacement(), new NoClaims()),
          new LifecycleDependencies(
              new Quarantine(60_000, 2_000, 100, QuarantineListener.NONE), invariants, () -> {}),
          new RequestMetrics(meters, invariants),
          new RequestLog(() -> "none"),
          () -> 0,
          (delayMillis, task) -> {},
          new SplittableRandom(1));

  /** Guards against a place in a queue, and a share of limits, for a caller that has left. */
  @Test
  void aRequestWhoseCallerHasLeftIsNotPlaced() {
    isPresent = false;

    RequestHandle unused = register();

    assertThat(placed).isEmpty();
    assertDroppedIn("received");
  }

  /** Guards against a request that is sent when its grant arrives after its caller has left. */
  @Test
  void aGrantThatArrivesAfterItsCallerHasLeftIsWithdrawnAndNotSent() {
    RequestHandle unused = register();
    isPresent = false;

    grant();

    assertThat(sent).isEmpty();
    assertThat(withdrawn).hasSize(1);
    assertDroppedIn("placing");
  }

  /** Guards against a retry for a caller that has left. */
  @Test
  void aRequestThatFailsAfterItsCallerHasLeftIsNotRetried() {
    RequestHandle unused = register();
    grant();
    isPresent = false;

    upstream
        .orElseThrow()
        .accept(new LifecycleEvent.UpstreamFailed(1, UPSTREAM, UpstreamFailure.CONNECT_FAILED));

    assertThat(placed).hasSize(1);
    assertThat(registry.size()).isZero();
    assertThat(refusals).isEmpty();
  }

  /**
   * Guards against a place, or a share of limits, that stays taken by a request that was dropped
   * before its write.
   */
  @Test
  void aRequestThatIsNotWrittenSinceItsCallerHasLeftReturnsItsGrant() {
    RequestHandle unused = register();
    grant();
    isPresent = false;

    upstream
        .orElseThrow()
        .accept(new LifecycleEvent.UpstreamFailed(1, UPSTREAM, UpstreamFailure.CALLER_LEFT));

    assertThat(withdrawn).containsExactly(new RequestId("q1"));
    assertThat(reports).isEmpty();
    assertThat(placed).hasSize(1);
    assertDroppedIn("plain-running");
  }

  /** Guards against a place, or a share of limits, that stays taken by a call that was not sent. */
  @Test
  void aRequestWhoseCallerLeavesWhileItsConnectionOpensReturnsItsGrant() {
    openCall = Optional.of(new RecordingCall(true));
    RequestHandle request = register();
    grant();

    request.callerDisconnected();

    assertThat(withdrawn).containsExactly(new RequestId("q1"));
    assertThat(reports).isEmpty();
    assertThat(closed).isEqualTo(1);
    assertDroppedIn("plain-running");
  }

  /** Guards against a request that may have run and is not charged to its organisation. */
  @Test
  void aRequestWhoseCallerLeavesAfterItWasWrittenIsReportedAsCancelled() {
    openCall = Optional.of(new RecordingCall(false));
    RequestHandle request = register();
    grant();

    request.callerDisconnected();

    assertThat(withdrawn).isEmpty();
    assertThat(reports).hasSize(1);
    assertThat(closed).isEqualTo(1);
    assertThat(dropped("plain-running")).isZero();
  }

  /** Guards against callers that leave while they wait and are not counted. */
  @Test
  void aRequestWhoseCallerLeavesWhileItWaitsCountsAsDropped() {
    RequestHandle request = register();

    request.callerDisconnected();

    assertThat(withdrawn).hasSize(1);
    assertDroppedIn("placing");
  }

  /** Guards against a caller that is taken for one that has left. */
  @Test
  void aRequestWhoseCallerWaitsIsSent() {
    RequestHandle unused = register();

    grant();

    assertThat(sent).containsExactly(1);
  }

  private void assertDroppedIn(String state) {
    assertThat(dropped(state)).isEqualTo(1);
    assertThat(registry.size()).isZero();
    assertThat(refusals).isEmpty();
  }

  private double dropped(String state) {
    return meters.get("marjoramsail.requests.dropped").tag("state", state).counter().count();
  }

  private void grant() {
    PlacementRequest request = placed.get(placed.size() - 1);
    placement
        .orElseThrow()
        .accept(
            new PlacementResult.Granted(
                new DaemonId("entry-1", 1),
                new Grant(
                    request.request(),
                    request.attempt(),
                    GrantMode.PLAIN,
                    Optional.empty(),
                    UPSTREAM,
                    0,
                    0)));
  }

  private RequestHandle register() {
    RequestProfile profile =
        new RequestProfile(
            new RequestId("q1"),
            new DaemonId("entry-1", 1),
            "desk",
            "council",
            "status",
            ServiceClass.STANDARD,
            Repeatability.IDEMPOTENT,
            false,
            false,
            0,
            0,
            List.of(),
            7,
            0,
            900,
            10_000);
    return registry.register(
        new NewRequest(
            profile,
            LifecyclePolicy.defaults(),
            new RecordingSender(),
            Optional.empty(),
            10,
            new LatencyTargets(900, 100),
            new RecordingSink(),
            () -> isPresent,
            Runnable::run));
  }

  private final class RecordingCall implements OpenCall {
    private final boolean unsent;

    private RecordingCall(boolean unsent) {
      this.unsent = unsent;
    }

    @Override
    public boolean isUnsent() {
      return unsent;
    }

    @Override
    public void close() {
      closed++;
    }
  }

  private final class RecordingPlacement implements PlacementService {
    @Override
    public void place(PlacementRequest request, Consumer<PlacementResult> result) {
      placed.add(request);
      placement = Optional.of(result);
    }

    @Override
    public void report(AttemptReport report) {
      reports.add(report);
    }

    @Override
    public void withdraw(RequestId request) {
      withdrawn.add(request);
    }
  }

  private final class RecordingSender implements AttemptSender {
    @Override
    public Optional<OpenCall> sendPrefill(
        LifecycleAction.SendPrefill send, Consumer<LifecycleEvent> events) {
      throw new AssertionError("not a stream");
    }

    @Override
    public Optional<OpenCall> sendDecode(
        LifecycleAction.SendDecode send, Consumer<LifecycleEvent> events) {
      throw new AssertionError("not a stream");
    }

    @Override
    public Optional<OpenCall> sendPlain(
        LifecycleAction.SendPlain send, Consumer<LifecycleEvent> events) {
      sent.add(send.attempt());
      upstream = Optional.of(events);
      return openCall;
    }

    @Override
    public void cancel(LifecycleAction.Cancel cancel, Consumer<LifecycleEvent> events) {
      events.accept(new LifecycleEvent.CancelConfirmed(cancel.attempt(), cancel.upstream()));
    }

    @Override
    public void deliver(int attempt) {}
  }

  private final class RecordingSink implements CallerSink {
    @Override
    public void token(int attempt, int index, String text) {}

    @Override
    public void complete(Completion completion) {}

    @Override
    public void respond(PlainResponse response) {}

    @Override
    public void refuse(Refusal refusal) {
      refusals.add(refusal);
    }
  }
}
