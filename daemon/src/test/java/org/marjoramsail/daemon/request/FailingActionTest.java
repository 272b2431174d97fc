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
import org.marjoramsail.core.failure.RefusalReason;
import org.marjoramsail.core.failure.RunState;
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
import org.marjoramsail.core.placement.AttemptPhase;
import org.marjoramsail.core.placement.AttemptReport;
import org.marjoramsail.core.placement.Grant;
import org.marjoramsail.core.placement.GrantMode;
import org.marjoramsail.core.placement.PlacementRequest;
import org.marjoramsail.core.placement.PlacementResult;
import org.marjoramsail.core.placement.PlacementService;
import org.marjoramsail.daemon.metrics.RequestMetrics;
import org.marjoramsail.daemon.upstream.PlainResponse;

/** Guards against a request without a response after one of its actions threw. */
final class FailingActionTest {

  private static final UpstreamName UPSTREAM = new UpstreamName("engine-1");
  private static final long DEADLINE_MILLIS = 10_000;

  private final SimpleMeterRegistry meters = new SimpleMeterRegistry();
  private final Invariants invariants = new Invariants(Invariants.Mode.THROW);
  private final List<Refusal> refusals = new ArrayList<>();
  private final List<Integer> tokens = new ArrayList<>();
  private final List<AttemptReport> reports = new ArrayList<>();
  private final List<Integer> cancelled = new ArrayList<>();
  private Optional<Consumer<LifecycleEvent>> upstreamEvents = Optional.empty();
  private boolean isPlacementFailing;
  private boolean isSenderFailing;
  private boolean isTokenFailing;
  private boolean isRefusalLogFailing;
  private boolean isMemoryExhausted;
  private boolean isStackExhausted;
  private boolean isCutReportFailing;
  private final List<Integer> endedAttemptsAtCutReports = new ArrayList<>();

  private final RequestRegistry registry =
      new RequestRegistry(
          new RequestDependencies(new FailingPlacement(), new NoClaims()),
          new LifecycleDependencies(
              new Quarantine(60_000, 2_000, 100, QuarantineListener.NONE),
              invariants,
              this::sendCutReports),
          new RequestMetrics(meters, invariants),
          new RequestLog(this::configurationSummary),
          () -> 0,
          (delayMillis, task) -> {},
          new SplittableRandom(1));

  @Test
  void aRequestWhosePlacementThrowsIsRefusedAsNotRun() {
    isPlacementFailing = true;

    register();

    assertThat(refusals).extracting(Refusal::reason).containsExactly(RefusalReason.INTERNAL);
    assertThat(refusals).extracting(Refusal::runState).containsExactly(RunState.NOT_RUN);
    assertThat(registry.size()).isZero();
    assertThat(failures()).isEqualTo(1);
  }

  @Test
  void aRequestWhoseSenderThrowsIsRefusedAndItsUpstreamReleased() {
    isSenderFailing = true;

    register();

    assertThat(refusals).extracting(Refusal::reason).containsExactly(RefusalReason.INTERNAL);
    assertThat(refusals).extracting(Refusal::runState).containsExactly(RunState.UNKNOWN);
    assertThat(cancelled).containsExactly(1);
    assertThat(reports).extracting(AttemptReport::phase).containsExactly(AttemptPhase.ENDED);
    assertThat(registry.size()).isZero();
  }

  @Test
  void aRequestWhoseOutputThrowsIsEndedOnce() {
    register();
    isTokenFailing = true;

    token(0);
    token(1);

    assertThat(tokens).isEmpty();
    assertThat(refusals).extracting(Refusal::reason).containsExactly(RefusalReason.INTERNAL);
    assertThat(cancelled).containsExactly(1);
    assertThat(registry.size()).isZero();
  }

  @Test
  void aRequestWhoseSenderRunsOutOfMemoryIsRefusedAndItsUpstreamReleased() {
    isMemoryExhausted = true;

    register();

    assertThat(refusals).extracting(Refusal::reason).containsExactly(RefusalReason.INTERNAL);
    assertThat(refusals).extracting(Refusal::runState).containsExactly(RunState.UNKNOWN);
    assertThat(cancelled).containsExactly(1);
    assertThat(registry.size()).isZero();
    assertThat(failures()).isEqualTo(1);
  }

  @Test
  void aRequestWhoseOutputExhaustsTheStackIsEndedOnce() {
    register();
    isStackExhausted = true;

    token(0);
    token(1);

    assertThat(tokens).isEmpty();
    assertThat(refusals).extracting(Refusal::reason).containsExactly(RefusalReason.INTERNAL);
    assertThat(cancelled).containsExactly(1);
    assertThat(registry.size()).isZero();
  }

  @Test
  void aRefusalThatCannotBeLoggedIsSent() {
    isRefusalLogFailing = true;
    RequestHandle handle = register();

    handle.end(Refusal.notRun(RefusalReason.STOPPING, "The daemon stops."));

    assertThat(refusals).extracting(Refusal::reason).containsExactly(RefusalReason.STOPPING);
    assertThat(cancelled).containsExactly(1);
  }

  /** Guards against a caller that repeats the request on a daemon that has no report yet. */
  @Test
  void aCutIsReportedToOtherDaemonsBeforeAnythingElseHappens() {
    register();

    cut();

    assertThat(endedAttemptsAtCutReports).containsExactly(0);
    assertThat(reports).extracting(AttemptReport::phase).containsExactly(AttemptPhase.ENDED);
  }

  @Test
  void aRequestWhoseCutCannotBeReportedIsRefusedAndItsUpstreamReleased() {
    isCutReportFailing = true;
    register();

    cut();

    assertThat(refusals).extracting(Refusal::reason).containsExactly(RefusalReason.INTERNAL);
    assertThat(cancelled).containsExactly(1);
    assertThat(reports).extracting(AttemptReport::phase).containsExactly(AttemptPhase.ENDED);
    assertThat(registry.size()).isZero();
  }

  private void sendCutReports() {
    endedAttemptsAtCutReports.add(reports.size());
    if (isCutReportFailing) {
      throw new IllegalStateException("no transport");
    }
  }

  private void cut() {
    upstreamEvents
        .orElseThrow()
        .accept(new LifecycleEvent.UpstreamFailed(1, UPSTREAM, UpstreamFailure.CUT));
  }

  private String configurationSummary() {
    if (isRefusalLogFailing) {
      throw new IllegalStateException("no summary");
    }
    return "none";
  }

  private double failures() {
    return meters.counter("marjoramsail.requests.failed.internally").count();
  }

  private void token(int index) {
    upstreamEvents
        .orElseThrow()
        .accept(new LifecycleEvent.TokenArrived(new RequestId("q1"), 1, index, "t"));
  }

  private RequestHandle register() {
    RequestProfile profile =
        new RequestProfile(
            new RequestId("q1"),
            new DaemonId("entry-1", 1),
            "assistant",
            "council",
            "summaries",
            ServiceClass.STANDARD,
            Repeatability.IDEMPOTENT,
            true,
            false,
            8,
            4,
            List.of(),
            7,
            0,
            900,
            DEADLINE_MILLIS);
    return registry.register(
        new NewRequest(
            profile,
            LifecyclePolicy.defaults(),
            new FailingSender(),
            Optional.empty(),
            10,
            new LatencyTargets(900, 100),
            new RecordingSink(),
            CallerPresence.ALWAYS,
            Runnable::run));
  }

  private final class FailingPlacement implements PlacementService {

    @Override
    public void place(PlacementRequest request, Consumer<PlacementResult> result) {
      if (isPlacementFailing) {
        throw new IllegalStateException("no placement");
      }
      Grant grant =
          new Grant(
              request.request(),
              request.attempt(),
              GrantMode.LOCAL_PREFILL,
              Optional.empty(),
              UPSTREAM,
              0,
              0);
      result.accept(new PlacementResult.Granted(new DaemonId("entry-1", 1), grant));
    }

    @Override
    public void report(AttemptReport report) {
      reports.add(report);
    }

    @Override
    public void withdraw(RequestId request) {}
  }

  private final class FailingSender implements AttemptSender {

    @Override
    public Optional<OpenCall> sendPrefill(
        LifecycleAction.SendPrefill send, Consumer<LifecycleEvent> events) {
      return Optional.empty();
    }

    @Override
    public Optional<OpenCall> sendDecode(
        LifecycleAction.SendDecode send, Consumer<LifecycleEvent> events) {
      if (isSenderFailing) {
        throw new IllegalStateException("no connection pool");
      }
      if (isMemoryExhausted) {
        throw new OutOfMemoryError("no heap");
      }
      upstreamEvents = Optional.of(events);
      return Optional.empty();
    }

    @Override
    public Optional<OpenCall> sendPlain(
        LifecycleAction.SendPlain send, Consumer<LifecycleEvent> events) {
      return Optional.empty();
    }

    @Override
    public void cancel(LifecycleAction.Cancel cancel, Consumer<LifecycleEvent> events) {
      cancelled.add(cancel.attempt());
      events.accept(new LifecycleEvent.CancelConfirmed(cancel.attempt(), cancel.upstream()));
    }

    @Override
    public void deliver(int attempt) {}
  }

  private final class RecordingSink implements CallerSink {

    @Override
    public void token(int attempt, int index, String text) {
      if (isTokenFailing) {
        throw new IllegalStateException("no response head");
      }
      if (isStackExhausted) {
        throw new StackOverflowError();
      }
      tokens.add(index);
    }

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
