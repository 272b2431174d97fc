package org.marjoramsail.core.placement;

import static org.assertj.core.api.Assertions.assertThat;
import static org.marjoramsail.core.placement.PlacementFixtures.plainPool;
import static org.marjoramsail.core.placement.PlacementFixtures.timelyPlain;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.marjoramsail.core.model.RequestId;

/**
 * Guards against idle upstreams: slow entry hosts hold a slot for longer than the upstream works on
 * the request, so requests wait although the upstream has capacity.
 */
class PlainOccupancyTest {

  private static final int SERVERS = 3;
  private static final int SLOTS = 6;
  private static final double WORK_MILLIS = 43;
  private static final int SLOWEST_HOST_MILLIS = 70;
  private static final long TARGET_MILLIS = 250;
  private static final long DEADLINE_MILLIS = 2_500;
  private static final long TICK_MILLIS = 5;
  private static final long DURATION_MILLIS = 12_000;
  private static final long WARM_UP_MILLIS = 2_000;

  private final ReservingPlacer placer =
      new ReservingPlacer(
          new PlacerSetup(
              PlacementFixtures.PLAIN_SHARD,
              plainPool(SERVERS, SLOTS + SLOTS / 3),
              PlacementSettings.forShortLivedCaches(),
              daemon -> Optional.of("a"),
              new Random(1),
              false),
          0);
  private final VirtualEvents events = new VirtualEvents();
  private final Map<String, Deque<Runnable>> queued = new HashMap<>();
  private final Map<String, Integer> working = new HashMap<>();
  private final Map<RequestId, Long> arrivedAt = new HashMap<>();
  private Random random = new Random(0);
  private int requested;
  private int withinTarget;

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5})
  void slowEntryHostsDoNotReduceTheCapacityOfAService(long seed) {
    random = new Random(seed);
    double next = 0;
    int number = 0;
    while (next < DURATION_MILLIS) {
      RequestId id = new RequestId("r" + number++);
      events.at((long) next, () -> arrive(id));
      next += -Math.log(1 - random.nextDouble()) * WORK_MILLIS / (SERVERS * SLOTS) / 0.75;
    }
    events.every(TICK_MILLIS, DURATION_MILLIS, () -> handle(placer.tick(events.now())));
    events.run();

    assertThat((double) withinTarget / requested).isGreaterThan(0.9);
  }

  /** Without delays on the entry hosts, a service gets no more than its slots. */
  @Test
  void withoutDelaysNoMoreThanTheSlotsAreGranted() {
    PlainOccupancy occupancy = new PlainOccupancy();
    for (int response = 0; response < 50; response++) {
      occupancy.learn(44, 43);
    }

    assertThat(occupancy.factor()).isBetween(1.0, 1.05);
  }

  private void arrive(RequestId id) {
    arrivedAt.put(id, events.now());
    requested += events.now() > WARM_UP_MILLIS ? 1 : 0;
    handle(placer.place(timelyPlain(id, TARGET_MILLIS * 7 / 10, DEADLINE_MILLIS, 0), events.now()));
  }

  private void handle(List<PlacementResult> results) {
    for (PlacementResult result : results) {
      if (result instanceof PlacementResult.Granted granted) {
        events.at(events.now() + random.nextInt(SLOWEST_HOST_MILLIS), () -> send(granted.grant()));
      }
    }
  }

  private void send(Grant grant) {
    String server = grant.target().value();
    long sentAt = events.now();
    Runnable work =
        () ->
            events.at(
                events.now() + (long) (WORK_MILLIS * (0.5 + random.nextDouble())),
                () -> responded(grant, sentAt));
    if (working.merge(server, 1, Integer::sum) <= SLOTS) {
      work.run();
    } else {
      queued.computeIfAbsent(server, unused -> new ArrayDeque<>()).add(work);
    }
  }

  private void responded(Grant grant, long sentAt) {
    String server = grant.target().value();
    working.merge(server, -1, Integer::sum);
    Optional.ofNullable(queued.get(server)).map(Deque::poll).ifPresent(Runnable::run);
    boolean isWithinTarget = events.now() - arrivedAt.get(grant.request()) <= TARGET_MILLIS;
    withinTarget += isWithinTarget && arrivedAt.get(grant.request()) > WARM_UP_MILLIS ? 1 : 0;
    long responseMillis = events.now() - sentAt;
    events.at(
        events.now() + random.nextInt(SLOWEST_HOST_MILLIS), () -> ended(grant, responseMillis));
  }

  private void ended(Grant grant, long responseMillis) {
    handle(
        placer.report(
            new AttemptReport(
                grant.request(),
                1,
                AttemptPhase.ENDED,
                Optional.of(AttemptResult.COMPLETED),
                Optional.empty(),
                0,
                responseMillis,
                0),
            events.now()));
  }
}
