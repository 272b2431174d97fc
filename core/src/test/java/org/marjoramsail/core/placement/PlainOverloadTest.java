package org.marjoramsail.core.placement;

import static org.assertj.core.api.Assertions.assertThat;
import static org.marjoramsail.core.placement.PlacementFixtures.ended;
import static org.marjoramsail.core.placement.PlacementFixtures.plainPool;
import static org.marjoramsail.core.placement.PlacementFixtures.timelyPlain;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.marjoramsail.core.model.RequestId;

/**
 * Guards against a backlog that outlasts a burst because retries are served before new requests,
 * which then become late and retry in turn.
 */
class PlainOverloadTest {

  private static final int SERVERS = 3;
  private static final int SLOTS = 6;
  private static final double WORK_MILLIS = 60;
  private static final long TARGET_MILLIS = 200;
  private static final long PLACE_MILLIS = 140;
  private static final long DEADLINE_MILLIS = 1_200;
  private static final long PATIENCE_MILLIS = 2_500;
  private static final long BURST_FROM_MILLIS = 4_000;
  private static final long BURST_TO_MILLIS = 9_000;
  private static final long TICK_MILLIS = 5;
  private static final long LENGTH_MILLIS = 20_000;

  private record Caller(long content, long firstMillis, int tries) {}

  private final ReservingPlacer placer =
      new ReservingPlacer(
          new PlacerSetup(
              PlacementFixtures.PLAIN_SHARD,
              plainPool(SERVERS, SLOTS),
              PlacementSettings.forShortLivedCaches(),
              daemon -> Optional.of("a"),
              new Random(1),
              false),
          0);
  private final VirtualEvents events = new VirtualEvents();
  private final Map<RequestId, Caller> callers = new HashMap<>();
  private Random random = new Random(0);
  private int requests;
  private int inTime;
  private int requestsAfterBurst;
  private int inTimeAfterBurst;

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5})
  void mostResponsesMeetTheirTargetAgainSoonAfterABurst(long seed) {
    simulate(seed);
    assertThat((double) inTimeAfterBurst / requestsAfterBurst).isGreaterThan(0.8);
    assertThat((double) inTime / requests).isGreaterThan(0.6);
  }

  private void simulate(long seed) {
    random = new Random(seed);
    double perMilli = SERVERS * SLOTS / WORK_MILLIS;
    double next = 0;
    long content = 1;
    while (next < LENGTH_MILLIS) {
      long arrival = (long) next;
      Caller caller = new Caller(content++, arrival, 1);
      events.at(arrival, () -> arrive(caller));
      boolean isBurst = arrival >= BURST_FROM_MILLIS && arrival < BURST_TO_MILLIS;
      next += -Math.log(1 - random.nextDouble()) / (perMilli * (isBurst ? 1.35 : 0.8));
    }
    events.every(TICK_MILLIS, LENGTH_MILLIS, () -> handle(placer.tick(events.now())));
    events.run();
  }

  private void arrive(Caller caller) {
    if (caller.tries() == 1) {
      requests++;
      requestsAfterBurst += isAfterBurst(caller) ? 1 : 0;
    }
    RequestId id = new RequestId(caller.content() + "-" + caller.tries());
    callers.put(id, caller);
    handle(
        placer.place(
            timelyPlain(id, PLACE_MILLIS, DEADLINE_MILLIS, caller.content()), events.now()));
  }

  /** Returns whether the caller arrived when the backlog of the burst should have been served. */
  private static boolean isAfterBurst(Caller caller) {
    return caller.firstMillis() > BURST_TO_MILLIS + 2_000;
  }

  private void handle(List<PlacementResult> results) {
    for (PlacementResult result : new ArrayList<>(results)) {
      Caller caller = callers.get(result.request());
      if (result instanceof PlacementResult.Refused refused) {
        retry(caller, refused.refusal().retryAfterMillis().orElse(150L));
      } else {
        double work = WORK_MILLIS * (0.5 + random.nextDouble());
        events.at(events.now() + (long) work + 8, () -> complete(result.request(), caller));
      }
    }
  }

  private void complete(RequestId request, Caller caller) {
    boolean isInTime = events.now() - caller.firstMillis() <= TARGET_MILLIS;
    inTime += isInTime ? 1 : 0;
    inTimeAfterBurst += isInTime && isAfterBurst(caller) ? 1 : 0;
    handle(placer.report(ended(request.value(), 1, AttemptResult.COMPLETED), events.now()));
  }

  private void retry(Caller caller, long afterMillis) {
    long retryAt = events.now() + afterMillis;
    if (caller.tries() < 2 && retryAt < caller.firstMillis() + PATIENCE_MILLIS) {
      events.at(retryAt, () -> arrive(new Caller(caller.content(), caller.firstMillis(), 2)));
    }
  }
}
