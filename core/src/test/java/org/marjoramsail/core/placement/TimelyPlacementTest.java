package org.marjoramsail.core.placement;

import static org.assertj.core.api.Assertions.assertThat;
import static org.marjoramsail.core.placement.PlacementFixtures.ended;
import static org.marjoramsail.core.placement.PlacementFixtures.granted;
import static org.marjoramsail.core.placement.PlacementFixtures.plainPlacer;
import static org.marjoramsail.core.placement.PlacementFixtures.plainPool;
import static org.marjoramsail.core.placement.PlacementFixtures.refused;
import static org.marjoramsail.core.placement.PlacementFixtures.timelyPlain;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.marjoramsail.core.failure.RunState;
import org.marjoramsail.core.model.RequestId;
import org.marjoramsail.core.model.UpstreamName;

/** Tests requests that have a latency target and are still useful after it. */
class TimelyPlacementTest {

  private static final long TARGET = 100;
  private static final long DEADLINE = 3_000;

  private final ReservingPlacer placer = plainPlacer(plainPool(1, 1));

  @Test
  void aRequestThatMissesItsTargetKeepsWaitingAndIsServedLate() {
    place("r1", 0);
    place("r2", 0);

    assertThat(placer.tick(TARGET + 1)).isEmpty();

    assertThat(granted(end("r1", 500))).containsExactly("r2");
  }

  /**
   * Guards against service in order of arrival under overload, in which every response comes just
   * too late.
   */
  @Test
  void requestsThatCanMeetTheirTargetAreServedBeforeLateOnes() {
    place("r1", 0);
    place("late", 0);
    placer.tick(TARGET + 1);
    place("fresh", TARGET + 1);

    assertThat(granted(end("r1", TARGET + 2))).containsExactly("fresh");
    assertThat(granted(end("fresh", TARGET + 3))).containsExactly("late");
  }

  /**
   * Guards against a caller that waits until its deadline without learning that its request will
   * not run.
   */
  @Test
  void aRequestIsRefusedOnceItsDeadlineCannotBeMet() {
    place("r1", 0);
    place("r2", 0);

    List<PlacementResult.Refused> refusals = refused(placer.tick(DEADLINE + 1));

    assertThat(refusals).hasSize(1);
    assertThat(refusals.get(0).refusal().runState()).isEqualTo(RunState.NOT_RUN);
    assertThat(refusals.get(0).refusal().retryAfterMillis()).isPresent();
  }

  /**
   * Guards against a caller that retries as the refusal stated and is refused again while other
   * late requests are served.
   *
   * <p>Requests that can still meet their target are served first: a retry that overtook them would
   * make them late.
   */
  @Test
  void aRetryAfterARefusalIsServedBeforeOtherLateRequests() {
    place("r1", 0);
    place("refused", 0, 77);
    placer.tick(DEADLINE + 1);
    place("late", DEADLINE + 2, 79);
    placer.tick(DEADLINE + 2 + TARGET);
    place("fresh", DEADLINE + 3 + TARGET, 78);
    place("back", DEADLINE + 4 + TARGET, 77);

    assertThat(granted(end("r1", DEADLINE + 5 + TARGET))).containsExactly("fresh");
    assertThat(granted(end("fresh", DEADLINE + 6 + TARGET))).containsExactly("back");
    assertThat(granted(end("back", DEADLINE + 7 + TARGET))).containsExactly("late");
  }

  /** An upstream may be filled by other clients; its response that it is full is not a failure. */
  @Test
  void anUpstreamThatIsFullIsTriedAgainSoon() {
    place("r1", 0);
    placer.report(
        new AttemptReport(
            new RequestId("r1"),
            1,
            AttemptPhase.ENDED,
            Optional.of(AttemptResult.FULL),
            Optional.of(new UpstreamName("plain-0")),
            0,
            0,
            0),
        10);

    assertThat(granted(place("r2", 11))).isEmpty();
    assertThat(granted(placer.tick(80))).containsExactly("r2");
  }

  /**
   * Guards against a new owner that refuses requests for a wait that follows from initial estimates
   * only.
   */
  @Test
  void nothingIsRefusedForAnEstimatedWaitBeforeResponsesWereMeasured() {
    List<PlacementResult> results = new ArrayList<>();

    for (int number = 0; number < 20; number++) {
      results.addAll(place("r" + number, 0));
    }

    assertThat(refused(results)).isEmpty();
  }

  @Test
  void aRequestIsRefusedAtOnceIfMeasuredResponseTimesMakeItsWaitTooLong() {
    for (int number = 0; number < 12; number++) {
      place("old" + number, number * 1_000L);
      end("old" + number, (number + 1) * 1_000L);
    }
    List<PlacementResult> results = new ArrayList<>();

    for (int number = 0; number < 20; number++) {
      results.addAll(place("r" + number, 12_000));
    }

    assertThat(refused(results)).hasSizeBetween(12, 16);
  }

  /**
   * Guards against requests that are granted just before their target and get their response just
   * after it.
   */
  @Test
  void aRequestThatCanNoLongerMeetItsTargetYieldsToOneThatCan() {
    for (int number = 0; number < 12; number++) {
      place("old" + number, number * 100L);
      end("old" + number, number * 100L + 40);
    }
    place("running", 2_000);
    place("too-late", 2_000);
    placer.tick(2_080);
    place("fresh", 2_080);

    assertThat(granted(end("running", 2_081))).containsExactly("fresh");
  }

  private List<PlacementResult> place(String name, long nowMillis) {
    return place(name, nowMillis, 0);
  }

  private List<PlacementResult> place(String name, long nowMillis, long content) {
    PlacementRequest request = timelyPlain(new RequestId(name), TARGET, DEADLINE, content);
    return placer.place(request, nowMillis);
  }

  private List<PlacementResult> end(String name, long nowMillis) {
    return placer.report(ended(name, 1, AttemptResult.COMPLETED), nowMillis);
  }
}
