package org.marjoramsail.core.placement;

import static org.assertj.core.api.Assertions.assertThat;
import static org.marjoramsail.core.placement.PlacementFixtures.poolWithMemory;
import static org.marjoramsail.core.placement.PlacementFixtures.request;
import static org.marjoramsail.core.placement.PlacementFixtures.shortLivedPlacer;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.marjoramsail.core.model.RequestId;
import org.marjoramsail.core.model.ServiceClass;
import org.marjoramsail.core.model.StreamChunking;

/**
 * Guards against an initial estimate of local prefill that is too slow, by which decode upstreams
 * never prefill a prompt and so never correct the estimate while prompts wait.
 */
class LocalPrefillUnderLoadTest {

  private static final int PREFILL_UPSTREAMS = 4;
  private static final int PROMPT_TOKENS = 5_200;
  private static final double TOKENS_PER_MILLI = 55;
  private static final double FIXED_MILLIS = 30;
  private static final long GENERATING_MILLIS = 300;

  /** Offered load relative to the capacity of the prefill upstreams alone. */
  private static final double OFFERED_SHARE = 1.3;

  /** Maximum delay of a report on a busy host, in milliseconds. */
  private static final int MAXIMUM_REPORT_DELAY_MILLIS = 120;

  private static final long TICK_MILLIS = 5;
  private static final long DURATION_MILLIS = 20_000;
  private static final long WARM_UP_MILLIS = 8_000;
  private static final long TARGET_MILLIS = 900;

  private final ReservingPlacer placer =
      shortLivedPlacer(poolWithMemory(PREFILL_UPSTREAMS, 8, 16, 42_000));
  private final VirtualEvents events = new VirtualEvents();
  private final Map<String, Double> freeAt = new HashMap<>();
  private final Map<RequestId, Long> arrivedAt = new HashMap<>();
  private final List<Long> waits = new ArrayList<>();

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5})
  void decodeUpstreamsPrefillPromptsWhilePrefillUpstreamsAreBusy(long seed) {
    Random random = new Random(seed);
    double prefillMillis = FIXED_MILLIS + PROMPT_TOKENS / TOKENS_PER_MILLI;
    double betweenMillis = prefillMillis / PREFILL_UPSTREAMS / OFFERED_SHARE;
    double next = 0;
    int number = 0;
    while (next < DURATION_MILLIS) {
      String name = "r" + number++;
      events.at((long) next, () -> arrive(name));
      next += betweenMillis * (0.5 + random.nextDouble());
    }
    events.every(TICK_MILLIS, DURATION_MILLIS, () -> handle(placer.tick(events.now()), random));
    events.run();

    long late = waits.stream().filter(wait -> wait > TARGET_MILLIS / 2).count();
    assertThat(waits).isNotEmpty();
    assertThat((double) late / waits.size()).isLessThan(0.05);
  }

  private void arrive(String name) {
    arrivedAt.put(new RequestId(name), events.now());
    handle(
        placer.place(
            request(name)
                .serviceClass(ServiceClass.TIMELY)
                .tokens(PROMPT_TOKENS, 70)
                .chunking(new StreamChunking(11, 300))
                .within(TARGET_MILLIS, 14_000)
                .build(),
            events.now()),
        new Random(name.hashCode()));
  }

  private void handle(List<PlacementResult> results, Random random) {
    for (PlacementResult result : results) {
      if (result instanceof PlacementResult.Granted granted) {
        granted(granted.grant(), random);
      } else if (events.now() > WARM_UP_MILLIS) {
        waits.add(TARGET_MILLIS);
      }
    }
  }

  private void granted(Grant grant, Random random) {
    if (events.now() > WARM_UP_MILLIS) {
      waits.add(events.now() - arrivedAt.get(grant.request()));
    }
    String upstream = grant.prefill().orElse(grant.target()).value();
    boolean isLocal = grant.prefill().isEmpty();
    double prefillMillis = FIXED_MILLIS + PROMPT_TOKENS / TOKENS_PER_MILLI * (isLocal ? 2 : 1);
    double prefilledAt =
        Math.max((double) events.now(), freeAt.getOrDefault(upstream, 0.0)) + prefillMillis;
    freeAt.put(upstream, prefilledAt);
    long sentAt = events.now();
    long reportedAt = (long) prefilledAt + random.nextInt(MAXIMUM_REPORT_DELAY_MILLIS);
    if (!isLocal) {
      events.at(
          reportedAt, () -> report(grant, AttemptPhase.PREFILLED, reportedAt - sentAt, random));
    }
    events.at(reportedAt + 40, () -> report(grant, AttemptPhase.GENERATING, 0, random));
    events.at(
        reportedAt + 40 + GENERATING_MILLIS, () -> report(grant, AttemptPhase.ENDED, 0, random));
  }

  private void report(Grant grant, AttemptPhase phase, long tookMillis, Random random) {
    Optional<AttemptResult> result =
        phase == AttemptPhase.ENDED ? Optional.of(AttemptResult.COMPLETED) : Optional.empty();
    handle(
        placer.report(
            new AttemptReport(
                grant.request(),
                grant.attempt(),
                phase,
                result,
                Optional.empty(),
                0,
                tookMillis,
                70),
            events.now()),
        random);
  }
}
