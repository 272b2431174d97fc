package org.marjoramsail.core.outcome;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.marjoramsail.core.failure.Refusal;
import org.marjoramsail.core.failure.RefusalReason;
import org.marjoramsail.core.model.DaemonId;
import org.marjoramsail.core.model.Repeatability;
import org.marjoramsail.core.model.RequestId;
import org.marjoramsail.core.model.ServiceClass;
import org.marjoramsail.core.model.UpstreamName;
import org.marjoramsail.core.placement.Grant;
import org.marjoramsail.core.placement.GrantMode;
import org.marjoramsail.core.placement.PlacementRequest;

/** Guards against an output that is ended although its upstream only pauses. */
final class SilentAttemptTest {

  private static final long STALL_MILLIS = 1_200;
  private static final long RESPONSE_STALL_MILLIS = 300;
  private static final long PREFILL_STALL_MILLIS = 600;
  private static final long DEADLINE_MILLIS = 14_000;
  private static final long OVERLAP_MILLIS = 300;
  private static final int SENDS = 2;
  private static final int TOKENS = 3;

  private static final UpstreamName SILENT = new UpstreamName("engine-silent");
  private static final UpstreamName OTHER = new UpstreamName("engine-other");
  private static final UpstreamName PREFILL = new UpstreamName("engine-prefill");

  private static final LifecyclePolicy POLICY =
      new LifecyclePolicy(
          SENDS + 4,
          5,
          100,
          100,
          400,
          1_500,
          80,
          PREFILL_STALL_MILLIS,
          STALL_MILLIS,
          SENDS,
          RESPONSE_STALL_MILLIS,
          3_100);

  private final Quarantine quarantine = new Quarantine(600_000, 500, 100, QuarantineListener.NONE);
  private final List<LifecycleAction> actions = new ArrayList<>();
  private RequestLifecycle request = lifecycle(Repeatability.IDEMPOTENT, true);
  private long nowMillis;

  @Test
  void aStreamWhoseUpstreamGoesOnIsWholeThoughNoOtherWasGranted() {
    startStream();
    stallUntilPlacement();
    refusePlacement();

    handle(token(1, 1));
    handle(token(1, 2));
    handle(finished(1));

    assertThat(actions).noneMatch(LifecycleAction.Refuse.class::isInstance);
    assertThat(actions).noneMatch(action -> action.equals(new LifecycleAction.CloseAttempt(1)));
    assertThat(tokens()).containsExactly(0, 1, 2);
    assertThat(actions).hasAtLeastOneElementOfType(LifecycleAction.Complete.class);
  }

  @Test
  void aPlainResponseThatComesLateIsDeliveredThoughNoOtherUpstreamWasGranted() {
    request = lifecycle(Repeatability.IDEMPOTENT, false);
    startPlain();
    advance(RESPONSE_STALL_MILLIS);
    passBackOff();
    refusePlacement();

    handle(new LifecycleEvent.PlainResponseReceived(1));

    assertThat(actions).contains(new LifecycleAction.DeliverResponse(1));
    assertThat(actions).noneMatch(LifecycleAction.Refuse.class::isInstance);
  }

  /** Guards against a stream of a restarted upstream that is ended with those before it. */
  @Test
  void aStreamThatWasSentAfterItsUpstreamHadEndedOutlivesTheNewsOfTheRestart() {
    startStream();

    handle(new LifecycleEvent.UpstreamRestarted(SILENT, 0));
    handle(token(1, 1));
    handle(token(1, 2));
    handle(finished(1));

    assertThat(tokens()).containsExactly(0, 1, 2);
    assertThat(actions).hasAtLeastOneElementOfType(LifecycleAction.Complete.class);
  }

  /** Guards against a stream that waits on an upstream that has restarted since. */
  @Test
  void aStreamThatWasSentBeforeItsUpstreamHadEndedIsEndedByTheNewsOfTheRestart() {
    startStream();

    handle(new LifecycleEvent.UpstreamRestarted(SILENT, Long.MAX_VALUE));

    assertThat(actions).contains(new LifecycleAction.CloseAttempt(1));
  }

  @Test
  void aSilentAttemptGoesOnUntilAnotherGivesOutput() {
    startStream();
    stallUntilPlacement();
    grantOther();

    assertThat(actions).doesNotContain(new LifecycleAction.CloseAttempt(1));

    handle(token(2, 1));

    assertThat(actions).contains(new LifecycleAction.CloseAttempt(1));
    assertThat(actions).contains(new LifecycleAction.Cancel(1, SILENT));
    handle(token(2, 2));
    handle(finished(2));
    assertThat(tokens()).containsExactly(0, 1, 2);
  }

  /** Guards against a silent attempt that is cancelled in place of one that was not made yet. */
  @Test
  void anAttemptThatGoesOnBeforeAnotherIsRequestedIsNotCancelled() {
    startStream();
    advance(STALL_MILLIS);

    handle(token(1, 1));

    assertThat(actions).noneMatch(LifecycleAction.Cancel.class::isInstance);
  }

  /** Guards against a KV cache that is deleted while a silent upstream may still fetch it. */
  @Test
  void theKvCacheOfAnAttemptThatGoesOnBeforeAnotherIsRequestedIsKept() {
    place();
    handle(
        new LifecycleEvent.Granted(
            new Grant(
                request.profile().id(),
                1,
                GrantMode.DISAGGREGATED,
                Optional.of(PREFILL),
                SILENT,
                0,
                0)));
    handle(new LifecycleEvent.Prefilled(1, "kv", 8, 0, 7, 60_000));
    suspectContent();

    passStallAndBackOff();

    assertThat(actions).noneMatch(LifecycleAction.Cancel.class::isInstance);
  }

  /** Guards against an output that two upstreams go on working on. */
  @Test
  void aSilentAttemptIsEndedSoonAfterItsOutputIsContinuedElsewhere() {
    startStream();
    stallUntilPlacement();
    grantOther();

    advance(OVERLAP_MILLIS - 1);
    assertThat(actions).doesNotContain(new LifecycleAction.CloseAttempt(1));
    advance(1);

    assertThat(actions).contains(new LifecycleAction.CloseAttempt(1));
    handle(token(2, 1));
    handle(token(2, 2));
    handle(finished(2));
    assertThat(tokens()).containsExactly(0, 1, 2);
  }

  @Test
  void aSilentAttemptWithoutOutputGoesOnUntilAnotherGivesOutput() {
    place();
    handle(granted(1, SILENT));
    stallUntilPlacement();
    grantOther();

    advance(2 * OVERLAP_MILLIS);

    assertThat(actions).doesNotContain(new LifecycleAction.CloseAttempt(1));
  }

  @Test
  void anAttemptThatIsStillWaitingIsWithdrawnWhenTheSilentOneGoesOn() {
    startStream();
    stallUntilPlacement();
    PlacementRequest second = placed();

    handle(token(1, 1));

    assertThat(actions).contains(new LifecycleAction.Withdraw(second.request()));
    assertThat(tokens()).containsExactly(0, 1);
  }

  @Test
  void theAttemptBesideIsEndedWhenTheSilentOneGoesOn() {
    startStream();
    stallUntilPlacement();
    grantOther();

    handle(token(1, 1));
    handle(token(2, 1));

    assertThat(actions).contains(new LifecycleAction.CloseAttempt(2));
    assertThat(actions).contains(new LifecycleAction.Cancel(2, OTHER));
    assertThat(tokens()).containsExactly(0, 1);
  }

  @Test
  void theAttemptBesideServesTheRequestWhenTheSilentOneIsCut() {
    startStream();
    stallUntilPlacement();
    grantOther();

    handle(new LifecycleEvent.UpstreamFailed(1, SILENT, UpstreamFailure.CUT));
    handle(token(2, 1));
    handle(token(2, 2));
    handle(finished(2));

    assertThat(tokens()).containsExactly(0, 1, 2);
    assertThat(actions).hasAtLeastOneElementOfType(LifecycleAction.Complete.class);
  }

  @Test
  void theSilentAttemptGoesOnWhenTheOneBesideItFails() {
    startStream();
    stallUntilPlacement();
    grantOther();

    handle(new LifecycleEvent.UpstreamFailed(2, OTHER, UpstreamFailure.MALFORMED));
    handle(token(1, 1));
    handle(token(1, 2));
    handle(finished(1));

    assertThat(tokens()).containsExactly(0, 1, 2);
    assertThat(actions).noneMatch(LifecycleAction.Refuse.class::isInstance);
  }

  @Test
  void aPrefillThatIsSilentIsUsedWhenItEndsAndNoOtherWasGranted() {
    place();
    handle(
        new LifecycleEvent.Granted(
            new Grant(
                request.profile().id(),
                1,
                GrantMode.DISAGGREGATED,
                Optional.of(PREFILL),
                SILENT,
                0,
                0)));
    advance(PREFILL_STALL_MILLIS);
    passBackOff();
    refusePlacement();

    handle(new LifecycleEvent.Prefilled(1, "kv", 8, 0, 700, 500));

    assertThat(actions).noneMatch(LifecycleAction.Refuse.class::isInstance);
    assertThat(actions).hasAtLeastOneElementOfType(LifecycleAction.SendDecode.class);
  }

  /** Guards against a second grant that releases the slot of the first one at the owner. */
  @Test
  void theAttemptBesideIsPlacedUnderAnIdentifierOfItsOwn() {
    startStream();
    stallUntilPlacement();

    assertThat(placed().request()).isNotEqualTo(request.profile().id());
    assertThat(placed().avoid()).contains(SILENT);
    assertThat(placed().priorCalls().isAny()).isTrue();
  }

  @Test
  void aRequestIsSentToNoMoreUpstreamsThanItsRouteAllows() {
    startStream();
    stallUntilPlacement();
    grantOther();

    advance(STALL_MILLIS);
    passBackOff();

    assertThat(actions.stream().filter(LifecycleAction.Place.class::isInstance)).hasSize(2);
    assertThat(actions).noneMatch(LifecycleAction.Refuse.class::isInstance);
  }

  @Test
  void bothAttemptsAreEndedAtTheDeadline() {
    startStream();
    stallUntilPlacement();
    grantOther();

    advance(DEADLINE_MILLIS);

    assertThat(actions)
        .contains(new LifecycleAction.CloseAttempt(1), new LifecycleAction.CloseAttempt(2))
        .contains(new LifecycleAction.Cancel(1, SILENT), new LifecycleAction.Cancel(2, OTHER));
  }

  /** Guards against a content that may crash upstreams and runs on two of them at once. */
  @Test
  void aSuspectContentIsNotSentBesideItsSilentAttempt() {
    startStream();
    suspectContent();

    passStallAndBackOff();

    assertThat(actions.stream().filter(LifecycleAction.Place.class::isInstance)).hasSize(1);
    assertThat(actions).noneMatch(LifecycleAction.Cancel.class::isInstance);
    handle(token(1, 1));
    assertThat(tokens()).containsExactly(0, 1);
  }

  /** Lets another request with the same content crash an upstream. */
  private void suspectContent() {
    RequestId sameContent = new RequestId("same-content");
    quarantine.incarnation(OTHER, 1, nowMillis, nowMillis);
    quarantine.started(OTHER, sameContent, 1, request.profile().fingerprint());
    quarantine.connectionLost(OTHER, sameContent, 1, nowMillis);
    quarantine.incarnation(OTHER, 2, nowMillis, nowMillis);
  }

  private void startStream() {
    place();
    handle(granted(1, SILENT));
    handle(new LifecycleEvent.OutputStarted(1, SILENT, Optional.empty()));
    handle(token(1, 0));
  }

  private void startPlain() {
    place();
    handle(
        new LifecycleEvent.Granted(
            new Grant(request.profile().id(), 1, GrantMode.PLAIN, Optional.empty(), SILENT, 0, 0)));
  }

  private void place() {
    handle(new LifecycleEvent.Started());
  }

  private void stallUntilPlacement() {
    passStallAndBackOff();
    assertThat(placed().attempt()).isEqualTo(2);
  }

  /** Advances the clock past the stall time and the wait before a placement. */
  private void passStallAndBackOff() {
    advance(STALL_MILLIS);
    passBackOff();
  }

  /** Advances the clock until the next placement is due. */
  private void passBackOff() {
    advance(POLICY.backOffMillis());
  }

  private void advance(long millis) {
    nowMillis += millis;
    handle(new LifecycleEvent.TimePassed());
  }

  private void refusePlacement() {
    Refusal refusal = Refusal.notRun(RefusalReason.RETRIES_EXHAUSTED, "no budget");
    handle(new LifecycleEvent.PlacementRefused(placed().attempt(), refusal));
  }

  private void grantOther() {
    handle(granted(2, OTHER));
    handle(new LifecycleEvent.OutputStarted(2, OTHER, Optional.empty()));
  }

  private LifecycleEvent granted(int attempt, UpstreamName upstream) {
    return new LifecycleEvent.Granted(
        new Grant(
            request.profile().id(),
            attempt,
            GrantMode.LOCAL_PREFILL,
            Optional.empty(),
            upstream,
            0,
            0));
  }

  private PlacementRequest placed() {
    return actions.stream()
        .filter(LifecycleAction.Place.class::isInstance)
        .map(action -> ((LifecycleAction.Place) action).request())
        .reduce((first, last) -> last)
        .orElseThrow();
  }

  private List<Integer> tokens() {
    return actions.stream()
        .filter(LifecycleAction.EmitToken.class::isInstance)
        .map(action -> ((LifecycleAction.EmitToken) action).index())
        .toList();
  }

  private void handle(LifecycleEvent event) {
    actions.addAll(request.handle(event, nowMillis));
  }

  private LifecycleEvent token(int attempt, int index) {
    return new LifecycleEvent.TokenArrived(request.profile().id(), attempt, index, "t");
  }

  private LifecycleEvent finished(int attempt) {
    return new LifecycleEvent.StreamFinished(request.profile().id(), attempt, TOKENS, "stop", 8, 0);
  }

  private RequestLifecycle lifecycle(Repeatability repeatability, boolean generation) {
    RequestProfile profile =
        new RequestProfile(
            new RequestId("summary-1"),
            new DaemonId("entry-1", 1),
            "assistant",
            "council",
            "summaries",
            ServiceClass.STANDARD,
            repeatability,
            generation,
            false,
            generation ? 8 : 0,
            generation ? TOKENS : 0,
            List.of(),
            7,
            0,
            900,
            DEADLINE_MILLIS);
    return new RequestLifecycle(
        profile, POLICY, quarantine, new Invariants(Invariants.Mode.THROW), new Random(1));
  }
}
