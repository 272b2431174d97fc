package org.marjoramsail.core.placement;

import static org.assertj.core.api.Assertions.assertThat;
import static org.marjoramsail.core.placement.PlacementFixtures.ended;
import static org.marjoramsail.core.placement.PlacementFixtures.granted;
import static org.marjoramsail.core.placement.PlacementFixtures.limitedInTokens;
import static org.marjoramsail.core.placement.PlacementFixtures.pool;
import static org.marjoramsail.core.placement.PlacementFixtures.refused;
import static org.marjoramsail.core.placement.PlacementFixtures.request;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.marjoramsail.core.configuration.Configuration;
import org.marjoramsail.core.failure.RefusalReason;
import org.marjoramsail.core.model.RequestId;
import org.marjoramsail.core.model.ServiceClass;

/** Tests token rate limits of organisations over several owners and their successors. */
class OrganisationRateTest {

  private static final double PER_SECOND = 10_000;
  private static final double BURST = 10_000;
  private static final int REQUEST_TOKENS = 500;
  private static final int UPSTREAMS = 16;
  private static final int[] SLICES = {1, 4, 8};

  /** Allowed excess over a limit as a factor; {@link #MAXIMUM_EXCESS_TOKENS} is added to it. */
  private static final double MAXIMUM_EXCESS_FACTOR = 1.1;

  private static final double MAXIMUM_EXCESS_TOKENS = 1.25 * BURST;
  private static final int WINDOW_SECONDS = 8;
  private static final long STEP_MILLIS = 20;
  private static final long SHARING_MILLIS = 200;

  private final Configuration configuration =
      pool(0, UPSTREAMS, 200, List.of(limitedInTokens("rosario", PER_SECOND, BURST)));

  /**
   * Guards against requests above a rate limit that wait for credit, are overtaken by newer
   * requests, and are refused only when their callers have no use for a response.
   */
  @Test
  void requestsAboveARateLimitAreRefusedAtOnceWithARetryTime() {
    ReservingPlacer placer = placer(false);
    placer.tick(0);
    List<PlacementResult> results = new ArrayList<>();
    for (int number = 0; number < 60; number++) {
      results.addAll(place(placer, "r" + number, 100));
    }

    assertThat(granted(results)).isNotEmpty();
    assertThat(refused(results))
        .isNotEmpty()
        .allMatch(refused -> refused.refusal().reason() == RefusalReason.ORGANISATION_RATE)
        .allMatch(refused -> refused.refusal().retryAfterMillis().orElseThrow() > 0);
  }

  /**
   * Guards against an owner that divides a rate by recent demand and so refuses the first request
   * after a pause.
   */
  @Test
  void requestsFarApartAreNotRefusedBelowTheRateLimit() {
    List<ReservingPlacer> owners = List.of(placer(0, 4, true, 0), placer(1, 4, true, 0));
    List<PlacementResult> results = new ArrayList<>();
    for (int number = 0; number < 20; number++) {
      long now = 2_000 + number * 2_000L;
      for (long tick = now - 2_000; tick <= now; tick += SHARING_MILLIS) {
        for (ReservingPlacer owner : owners) {
          results.addAll(owner.tick(tick));
        }
        share(owners, tick);
      }
      PlacementRequest large =
          request("r" + number)
              .serviceClass(ServiceClass.TIMELY)
              .tokens(8_000, 200)
              .within(900, 14_000)
              .build();
      ReservingPlacer owner = owners.get(number % 2);
      results.addAll(owner.place(large, now));
      owner.report(ended("r" + number, 1, AttemptResult.COMPLETED), now);
    }

    assertThat(granted(results)).hasSize(20);
  }

  /**
   * Guards against two owners of one shard whose alternating messages are charged in full each
   * time, so that all requests of an organisation below its limit are refused.
   */
  @Test
  void usageOfTwoOwnersOfOneShardIsCountedOnceEach() {
    ReservingPlacer before = placer(1, 4, false, 0);
    ReservingPlacer after = placer(1, 4, true, 7);
    ReservingPlacer other = placer(0, 4, false, 0);
    for (ReservingPlacer owner : List.of(before, after)) {
      for (int number = 0; number < 10; number++) {
        place(owner, owner.hashCode() + "-" + number, 1_000);
      }
    }

    for (long now = 1_000; now < 20_000; now += 1_000) {
      for (ReservingPlacer owner : List.of(before, after)) {
        owner.tick(now);
        other.receiveUsage(owner.usage(now), now);
      }
    }

    assertThat(granted(place(other, "r", 20_000))).containsExactly("r");
  }

  /** Guards against two owners of one shard that each grant the whole rate. */
  @Test
  void ownersOfOneShardKeepToARateLimitTogether() {
    List<ReservingPlacer> owners = List.of(placer(0, 1, true, 0), placer(0, 1, true, 1));
    Grants grants = new Grants();
    for (long now = 0; now < 20_000; now += STEP_MILLIS) {
      if (now % SHARING_MILLIS == 0) {
        share(owners, now);
      }
      for (ReservingPlacer owner : owners) {
        for (String name : granted(place(owner, owner.hashCode() + "-" + now, now))) {
          grants.count(1, now);
          owner.report(ended(name, 1, AttemptResult.COMPLETED), now);
        }
      }
    }

    assertThat(grants.tokensOfWindow(grants.seconds()))
        .isLessThanOrEqualTo(1.1 * (PER_SECOND * WINDOW_SECONDS + BURST));
  }

  /** Guards against charging a request again when it is placed again after a failure. */
  @Test
  void aRetryIsNotChargedToATokenLimitAgain() {
    ReservingPlacer placer = placer(false);
    placer.tick(0);
    for (int number = 0; number < 100; number++) {
      PlacementRequest first = request("r" + number).tokens(REQUEST_TOKENS - 10, 10).build();
      PlacementRequest retry =
          new PlacementRequest(
              first.request(),
              2,
              first.entry(),
              first.service(),
              first.organisation(),
              first.rule(),
              first.serviceClass(),
              first.promptTokens(),
              first.outputTokens(),
              first.prefixHashes(),
              0,
              first.firstTokenWithinMillis(),
              first.deadlineWithinMillis(),
              first.avoid(),
              first.kvHeldBy(),
              first.alone(),
              0,
              first.chunking(),
              0,
              PriorCalls.NONE);

      assertThat(granted(placer.place(retry, 1_000 + number))).hasSize(1);
    }
  }

  /**
   * Guards against retries after upstream failures that use up the organisation's request limit.
   */
  @Test
  void aRetryIsNotChargedToARequestLimit() {
    Configuration limited =
        pool(0, UPSTREAMS, 200, List.of(PlacementFixtures.organisation("rosario", 0, 10)));
    ReservingPlacer placer = PlacementFixtures.placer(limited);
    placer.tick(0);
    List<PlacementResult> results = new ArrayList<>();
    for (int number = 0; number < 100; number++) {
      results.addAll(placer.place(request("r" + number).attempt(2).build(), 1_000 + number));
    }

    assertThat(granted(results)).hasSize(100);
  }

  /** Guards against new owners of a shard that each grant the whole burst once more. */
  @Property(tries = 30)
  void ownersAndTheirSuccessorsTogetherKeepToARateLimit(
      @ForAll long seed, @ForAll @IntRange(max = 2) int choice) {
    Grants grants = simulate(seed, SLICES[choice], true);

    for (int second = WINDOW_SECONDS; second <= grants.seconds(); second++) {
      assertThat(grants.tokensOfWindow(second))
          .isLessThanOrEqualTo(
              (PER_SECOND * WINDOW_SECONDS + BURST) * MAXIMUM_EXCESS_FACTOR
                  + MAXIMUM_EXCESS_TOKENS);
    }
  }

  /**
   * An organisation whose demand exceeds its limit gets nearly the whole limit, however the demand
   * is spread over shards.
   */
  @Property(tries = 30)
  void aRateLimitIsUsedUpWhenDemandExceedsIt(
      @ForAll long seed, @ForAll @IntRange(max = 2) int choice) {
    Grants grants = simulate(seed, SLICES[choice], false);

    assertThat(grants.tokensOfWindow(grants.seconds()))
        .isGreaterThan(0.95 * PER_SECOND * WINDOW_SECONDS);
  }

  /** Guards against owners that overspend together and then all refuse until the debt is paid. */
  @ParameterizedTest
  @CsvSource({"5610, 8", "226, 8", "1, 8", "1, 4"})
  void anOrganisationAboveItsLimitIsServedInEverySecond(long seed, int shards) {
    Grants grants = simulate(seed, shards, false);

    for (int second = 1; second <= grants.seconds(); second++) {
      assertThat(grants.tokensOfSecond(second)).as("second " + second).isPositive();
    }
  }

  private Grants simulate(long seed, int shards, boolean successors) {
    Random random = new Random(seed);
    List<ReservingPlacer> owners = new ArrayList<>();
    for (int shard = 0; shard < shards; shard++) {
      owners.add(placer(shard, shards, false, 0));
    }
    Grants grants = new Grants();
    int sequence = 0;
    for (long now = 0; now < 20_000; now += STEP_MILLIS) {
      if (now % SHARING_MILLIS == 0) {
        share(owners, now);
      }
      if (successors && random.nextInt(200) == 0) {
        int changed = random.nextInt(shards);
        owners.set(changed, placer(changed, shards, true, now));
      }
      // Demand is four times the limit; the last shard gets twice as much as each other shard.
      int arrivals = (int) (4 * PER_SECOND * STEP_MILLIS / 1_000 / REQUEST_TOKENS) + 1;
      for (int number = 0; number < arrivals; number++) {
        ReservingPlacer owner = owners.get(Math.min(shards - 1, random.nextInt(shards + 1)));
        List<PlacementResult> results = place(owner, "r" + sequence++, now);
        grants.count(granted(results).size(), now);
        for (String name : granted(results)) {
          grants.count(
              granted(owner.report(ended(name, 1, AttemptResult.COMPLETED), now)).size(), now);
        }
      }
      for (ReservingPlacer owner : owners) {
        grants.count(granted(owner.tick(now)).size(), now);
      }
    }
    return grants;
  }

  /** Guards against callers that leave before they are served and use up the rate of others. */
  @Test
  void grantsThatAreNeverSentCostNothingOfARateLimit() {
    ReservingPlacer owner = placer(false);
    owner.tick(0);
    int unsent = 10 * (int) BURST / REQUEST_TOKENS;
    for (int number = 0; number < unsent; number++) {
      assertThat(granted(place(owner, "unsent-" + number, 100))).hasSize(1);
      owner.refund(new RequestId("unsent-" + number), 100);
      owner.withdraw(new RequestId("unsent-" + number), 100);
    }

    int sent = 0;
    while (granted(place(owner, "sent-" + sent, 100)).size() == 1) {
      sent++;
    }

    assertThat(sent).isEqualTo((int) BURST / REQUEST_TOKENS);
  }

  /** Guards against a refund that lets other owners count a start twice or not at all. */
  @Test
  void otherOwnersCountOnlyTheGrantsThatWereSent() {
    ReservingPlacer owner = placer(0, 2, false, 0);
    place(owner, "unsent", 100);
    OrganisationUsageMessage before = owner.usage(1_000);
    owner.refund(new RequestId("unsent"), 1_100);
    owner.refund(new RequestId("unsent"), 1_100);
    owner.withdraw(new RequestId("unsent"), 1_100);
    OrganisationUsageMessage refunded = owner.usage(2_000);
    place(owner, "first", 2_100);
    place(owner, "second", 2_100);
    OrganisationUsageMessage after = owner.usage(3_000);

    assertThat(startedTokens(before)).isEqualTo(REQUEST_TOKENS);
    assertThat(startedTokens(refunded)).isEqualTo(REQUEST_TOKENS);
    assertThat(startedTokens(after)).isEqualTo(2 * REQUEST_TOKENS);
  }

  private static long startedTokens(OrganisationUsageMessage message) {
    return message.usages().stream().mapToLong(OrganisationUsageMessage.Usage::startedTokens).sum();
  }

  private static void share(List<ReservingPlacer> owners, long now) {
    List<OrganisationUsageMessage> usages = owners.stream().map(owner -> owner.usage(now)).toList();
    for (ReservingPlacer owner : owners) {
      usages.forEach(usage -> owner.receiveUsage(usage, now));
    }
  }

  private static List<PlacementResult> place(ReservingPlacer placer, String name, long now) {
    return placer.place(
        request(name)
            .serviceClass(ServiceClass.TIMELY)
            .tokens(REQUEST_TOKENS - 10, 10)
            .within(900, 14_000)
            .build(),
        now);
  }

  private ReservingPlacer placer(boolean takenOver) {
    return placer(0, 1, takenOver, 0);
  }

  /** Creates an owner of one of several shards, each of which has the capacity for all requests. */
  private ReservingPlacer placer(int slice, int slices, boolean takenOver, long now) {
    ShardId shard = new ShardId("lector", "litoral", slice);
    PlacementSettings settings = PlacementSettings.defaults();
    PlacerSetup setup = PlacementFixtures.setup(shard, configuration, takenOver);
    return new ReservingPlacer(
        new PlacerSetup(
            shard,
            configuration,
            settings.withShardUpstreams(UPSTREAMS / slices),
            setup.zoneOf(),
            new Random(now + slice),
            takenOver),
        now);
  }

  /** Granted tokens by second. */
  private static final class Grants {
    private final List<Integer> tokens = new ArrayList<>();

    void count(int granted, long now) {
      int second = (int) (now / 1_000);
      while (tokens.size() <= second) {
        tokens.add(0);
      }
      tokens.set(second, tokens.get(second) + granted * REQUEST_TOKENS);
    }

    int seconds() {
      return tokens.size();
    }

    int tokensOfSecond(int second) {
      return tokens.get(second - 1);
    }

    double tokensOfWindow(int end) {
      return tokens.subList(end - WINDOW_SECONDS, end).stream().mapToInt(each -> each).sum();
    }
  }
}
