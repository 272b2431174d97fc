package org.marjoramsail.core.placement;

import static org.assertj.core.api.Assertions.assertThat;
import static org.marjoramsail.core.placement.PlacementFixtures.ended;
import static org.marjoramsail.core.placement.PlacementFixtures.granted;
import static org.marjoramsail.core.placement.PlacementFixtures.load;
import static org.marjoramsail.core.placement.PlacementFixtures.onlyGrant;
import static org.marjoramsail.core.placement.PlacementFixtures.organisation;
import static org.marjoramsail.core.placement.PlacementFixtures.placer;
import static org.marjoramsail.core.placement.PlacementFixtures.pool;
import static org.marjoramsail.core.placement.PlacementFixtures.progress;
import static org.marjoramsail.core.placement.PlacementFixtures.refused;
import static org.marjoramsail.core.placement.PlacementFixtures.request;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.marjoramsail.core.failure.RefusalReason;
import org.marjoramsail.core.failure.RunState;
import org.marjoramsail.core.model.RequestId;
import org.marjoramsail.core.model.ServiceClass;
import org.marjoramsail.core.model.UpstreamName;
import org.marjoramsail.core.model.UpstreamRole;

final class ReservingPlacerTest {

  @Test
  void aLongPromptGetsAPrefillAndADecodeUpstreamTogether() {
    ReservingPlacer placer = placer(pool(1, 1, 2));

    Grant grant = onlyGrant(placer.place(request("r1").build(), 0));

    assertThat(grant.mode()).isEqualTo(GrantMode.DISAGGREGATED);
    assertThat(grant.prefill()).contains(new UpstreamName("prefill-0"));
    assertThat(grant.target()).isEqualTo(new UpstreamName("decode-0"));
    assertThat(grant.expectedPrefillMillis()).isPositive();
  }

  @Test
  void aShortPromptIsPrefilledOnTheDecodeUpstream() {
    ReservingPlacer placer = placer(pool(1, 1, 2));

    Grant grant = onlyGrant(placer.place(request("r1").tokens(50, 10).build(), 0));

    assertThat(grant.mode()).isEqualTo(GrantMode.LOCAL_PREFILL);
  }

  /**
   * Guards against prefills that start while the decode pool is full: their KV cache expires before
   * a decode slot is free.
   */
  @Test
  void noPromptIsPrefilledWhileNoDecodeSlotIsFree() {
    ReservingPlacer placer = placer(pool(4, 1, 2));
    placer.place(request("r1").build(), 0);
    placer.place(request("r2").build(), 0);

    assertThat(placer.place(request("r3").build(), 0)).isEmpty();
    assertThat(placer.view(0).waiting().get(0).missing()).isEqualTo("decode-slot");

    assertThat(granted(placer.report(ended("r1", 1, AttemptResult.COMPLETED), 500)))
        .containsExactly("r3");
  }

  /**
   * Guards against overfilling an engine after a load report that was made before the latest
   * grants.
   */
  @Test
  void anOutdatedLoadReportDoesNotFreeAReservedSlot() {
    ReservingPlacer placer = placer(pool(1, 1, 1));
    placer.place(request("r1").build(), 0);

    placer.load(load("decode-0", UpstreamRole.DECODE, 1, 0), 10);

    assertThat(granted(placer.place(request("r2").build(), 11))).isEmpty();
  }

  @Test
  void requestsOfOthersOnAnUpstreamOccupyItsSlots() {
    ReservingPlacer placer = placer(pool(1, 1, 2));
    placer.load(load("decode-0", UpstreamRole.DECODE, 2, 2), 0);

    assertThat(granted(placer.place(request("r1").build(), 1))).isEmpty();

    placer.load(load("decode-0", UpstreamRole.DECODE, 2, 1), 2);
    assertThat(placer.view(2).waiting()).isEmpty();
  }

  /**
   * Guards against a new owner that takes all slots as free before the entry daemons have restored
   * the grants of the earlier owner.
   */
  @Test
  void aNewOwnerGrantsNothingUntilItHasRestoredReservations() {
    ReservingPlacer placer =
        new ReservingPlacer(
            PlacementFixtures.setup(PlacementFixtures.MODEL_SHARD, pool(1, 1, 2), true), 0);
    assertThat(placer.place(request("r1").build(), 1)).isEmpty();
    Grant old =
        new Grant(
            new RequestId("r0"),
            1,
            GrantMode.DISAGGREGATED,
            Optional.of(new UpstreamName("prefill-0")),
            new UpstreamName("decode-0"),
            100,
            4);

    placer.restore(request("r0").build(), old, AttemptPhase.GENERATING, 2);
    List<PlacementResult> results = placer.tick(PlacementSettings.defaults().settlingMillis());
    assertThat(granted(results)).containsExactly("r1");
    assertThat(placer.place(request("r2").build(), 501)).isEmpty();
  }

  @Test
  void aNewOwnerGrantsAtOnceTheSlotsThatLoadReportsShowAsFree() {
    ReservingPlacer placer =
        new ReservingPlacer(
            PlacementFixtures.setup(PlacementFixtures.MODEL_SHARD, pool(1, 1, 2), true), 0);
    placer.load(load("prefill-0", UpstreamRole.PREFILL, 2, 0), 1);
    placer.load(load("decode-0", UpstreamRole.DECODE, 2, 1), 1);

    assertThat(granted(placer.place(request("r1").build(), 2))).containsExactly("r1");
    assertThat(granted(placer.place(request("r2").build(), 2))).isEmpty();
  }

  /**
   * Guards against a lost grant: the entry daemon repeats the request, and a second reservation
   * would leave the first one without a holder.
   */
  @Test
  void aRepeatedRequestGetsTheSameGrantAgain() {
    ReservingPlacer placer = placer(pool(1, 2, 2));
    Grant first = onlyGrant(placer.place(request("r1").build(), 0));

    assertThat(onlyGrant(placer.place(request("r1").build(), 5))).isEqualTo(first);
    assertThat(placer.view(5).running()).hasSize(1);
  }

  /**
   * Guards against slots that leak when a repeat of a request arrives after its attempt has ended.
   */
  @Test
  void aRequestThatArrivesAfterItsEndReservesNothing() {
    ReservingPlacer placer = placer(pool(1, 1, 2));
    placer.place(request("r1").build(), 0);
    placer.report(ended("r1", 1, AttemptResult.COMPLETED), 100);

    assertThat(placer.place(request("r1").build(), 150)).isEmpty();
    assertThat(placer.view(150).running()).isEmpty();
  }

  @Test
  void reservationsAndWaitingAttemptsOfAFailedDaemonAreRemoved() {
    ReservingPlacer placer = placer(pool(1, 1, 1));
    placer.place(request("r1").build(), 0);
    placer.place(request("r2").build(), 0);
    placer.place(request("r3").entry(PlacementFixtures.OTHER_ENTRY).build(), 0);

    assertThat(granted(placer.daemonFailed(PlacementFixtures.ENTRY, 10))).containsExactly("r3");
  }

  /**
   * Guards against an owner that drops the requests of a daemon that was paused, was declared
   * failed and has recovered.
   */
  @Test
  void aRecoveredDaemonIsServedAtOnce() {
    ReservingPlacer placer = placer(pool(0, 1, 2));
    placer.daemonFailed(PlacementFixtures.ENTRY, 0);

    assertThat(placer.place(request("late").tokens(50, 10).build(), 10)).isEmpty();
    placer.daemonRecovered(PlacementFixtures.ENTRY);

    assertThat(granted(placer.place(request("new").tokens(50, 10).build(), 20)))
        .containsExactly("new");
  }

  /**
   * Guards against prefilling a prompt again while the prefill upstream of the failed attempt still
   * holds its KV cache.
   */
  @Test
  void anAttemptWithAHeldKvCacheGetsOnlyADecodeSlot() {
    ReservingPlacer placer = placer(pool(1, 2, 2));
    PlacementRequest request =
        request("r1").attempt(2).kvHeldBy("prefill-0").avoid("decode-0").build();

    Grant grant = onlyGrant(placer.place(request, 0));

    assertThat(grant.prefill()).contains(new UpstreamName("prefill-0"));
    assertThat(grant.expectedPrefillMillis()).isZero();
    assertThat(grant.target()).isEqualTo(new UpstreamName("decode-1"));
    assertThat(placer.view(0).upstreams())
        .filteredOn(it -> it.role() == UpstreamRole.PREFILL)
        .allSatisfy(upstream -> assertThat(upstream.reserved()).isZero());
  }

  /**
   * Guards against two requests suspected of crashing engines that share an engine, so that the
   * culprit cannot be identified.
   */
  @Test
  void twoSuspectsNeverShareAnUpstream() {
    ReservingPlacer placer = placer(pool(0, 1, 8));
    placer.place(request("r1").tokens(50, 10).alone().build(), 0);

    assertThat(placer.place(request("r2").tokens(50, 10).alone().build(), 0)).isEmpty();
    assertThat(granted(placer.place(request("r3").tokens(50, 10).build(), 0)))
        .containsExactly("r3");
    assertThat(granted(placer.report(ended("r1", 1, AttemptResult.COMPLETED), 10)))
        .containsExactly("r2");
  }

  @Test
  void aPromptIsSentToTheUpstreamThatCachesItsPrefix() {
    ReservingPlacer placer = placer(pool(4, 4, 8));
    List<Long> hashes = LongStream.rangeClosed(1, 16).boxed().toList();
    for (long hash : hashes) {
      placer.cacheEvent(
          new CacheEvent(new UpstreamName("prefill-3"), CacheEvent.Kind.STORED, hash));
    }

    Grant grant = onlyGrant(placer.place(request("r1").hashes(hashes).build(), 0));
    assertThat(grant.prefill()).contains(new UpstreamName("prefill-3"));
  }

  @Test
  void quickRequestsOvertakeStandardOnesButDoNotStarveThem() {
    ReservingPlacer placer = placer(pool(0, 1, 1));
    placer.place(request("first").tokens(50, 10).build(), 0);
    for (int number = 0; number < 20; number++) {
      placer.place(request("s" + number).tokens(50, 10).build(), 0);
    }
    for (int number = 0; number < 20; number++) {
      placer.place(
          request("q" + number).tokens(50, 10).serviceClass(ServiceClass.QUICK).build(), 1);
    }

    List<String> order = new ArrayList<>(List.of("first"));
    for (int number = 0; number < 14; number++) {
      String last = order.get(order.size() - 1);
      order.addAll(granted(placer.report(ended(last, 1, AttemptResult.COMPLETED), 2)));
    }

    assertThat(order.subList(1, 7)).allMatch(name -> name.startsWith("q"));
    assertThat(order.subList(1, 15)).filteredOn(name -> name.startsWith("s")).hasSize(2);
  }

  @Test
  void aFloodOfOneOrganisationLeavesOthersTheirShare() {
    ReservingPlacer placer = placer(pool(0, 1, 1));
    placer.place(request("first").tokens(50, 10).build(), 0);
    for (int number = 0; number < 50; number++) {
      placer.place(request("flood" + number).organisation("flood").tokens(50, 10).build(), 0);
    }
    for (int number = 0; number < 5; number++) {
      placer.place(request("small" + number).organisation("small").tokens(50, 10).build(), 1);
    }

    List<String> order = new ArrayList<>(List.of("first"));
    for (int number = 0; number < 10; number++) {
      String last = order.get(order.size() - 1);
      order.addAll(granted(placer.report(ended(last, 1, AttemptResult.COMPLETED), 2)));
    }

    assertThat(order).filteredOn(name -> name.startsWith("small")).hasSize(5);
  }

  @Test
  void deferrableRequestsAreServedInOrderOfDeadline() {
    ReservingPlacer placer = placer(pool(0, 1, 1));
    placer.place(request("first").tokens(50, 10).build(), 0);
    PlacementFixtures.RequestBuilder late = request("late").serviceClass(ServiceClass.DEFERRABLE);
    PlacementFixtures.RequestBuilder soon = request("soon").serviceClass(ServiceClass.DEFERRABLE);
    placer.place(late.tokens(50, 10).within(10, 900_000).build(), 0);
    placer.place(soon.tokens(50, 10).within(10, 100_000).build(), 1);

    assertThat(granted(placer.report(ended("first", 1, AttemptResult.COMPLETED), 50)))
        .containsExactly("soon");
  }

  @Test
  void aRequestThatCannotStartBeforeItsDeadlineIsRefusedAsNotRun() {
    ReservingPlacer placer = placer(pool(0, 1, 1));
    placer.place(request("r1").tokens(50, 10).build(), 0);
    placer.place(request("r2").tokens(50, 10).within(1_500, 9_000).build(), 0);

    List<PlacementResult.Refused> refused = refused(placer.tick(1_600));

    assertThat(refused).hasSize(1);
    assertThat(refused.get(0).refusal().reason()).isEqualTo(RefusalReason.DEADLINE_UNREACHABLE);
    assertThat(refused.get(0).refusal().runState()).isEqualTo(RunState.NOT_RUN);
  }

  /**
   * Guards against refusing a request for a rate limit only because its target has passed: the time
   * left is then negative although no rate delays the request.
   */
  @Test
  void aRequestThatArrivesAfterItsTargetIsNotRefusedForARateLimit() {
    ReservingPlacer placer = placer(pool(0, 1, 1, List.of(organisation("rosario", 2, 1_000))));
    placer.availability(new UpstreamName("decode-0"), false, 0);

    List<PlacementResult.Refused> refused =
        refused(placer.place(request("r1").tokens(50, 10).within(-5, -5).build(), 0));

    assertThat(refused)
        .extracting(one -> one.refusal().reason())
        .containsExactly(RefusalReason.NO_UPSTREAM);
  }

  /**
   * Guards against an organisation at its own limit whose waiting requests block the less urgent
   * requests of all others.
   */
  @Test
  void anOrganisationAtItsLimitDoesNotBlockOthers() {
    ReservingPlacer placer = placer(pool(0, 1, 2, List.of(organisation("rosario", 1, 0))));
    placer.place(request("other").organisation("o").tokens(50, 10).build(), 0);
    placer.place(request("third").organisation("o").tokens(50, 10).build(), 0);
    placer.place(request("r1").tokens(50, 10).serviceClass(ServiceClass.QUICK).build(), 1);
    placer.place(request("r2").tokens(50, 10).serviceClass(ServiceClass.QUICK).build(), 1);
    placer.place(request("late").organisation("o").tokens(50, 10).build(), 2);

    assertThat(granted(placer.report(ended("other", 1, AttemptResult.COMPLETED), 3)))
        .containsExactly("r1");
    assertThat(granted(placer.report(ended("third", 1, AttemptResult.COMPLETED), 4)))
        .containsExactly("late");
  }

  @Test
  void anOrganisationRunsNoMoreThanItsLimit() {
    ReservingPlacer placer = placer(pool(0, 2, 8, List.of(organisation("rosario", 2, 0))));
    placer.place(request("r1").tokens(50, 10).build(), 0);
    placer.place(request("r2").tokens(50, 10).build(), 0);

    assertThat(placer.place(request("r3").tokens(50, 10).build(), 0)).isEmpty();
    assertThat(placer.view(0).waiting().get(0).missing()).isEqualTo("organisation-concurrency");
    assertThat(granted(placer.place(request("o").organisation("o").tokens(50, 10).build(), 0)))
        .containsExactly("o");
  }

  @Test
  void ownersDivideALimitByTheirDemand() {
    ReservingPlacer placer = placer(pool(0, 2, 8, List.of(organisation("rosario", 4, 0))));
    OrganisationUsageMessage.Usage usage =
        new OrganisationUsageMessage.Usage("rosario", 8, 0, 0, 0);
    placer.place(request("r1").tokens(50, 10).build(), 0);
    placer.receiveUsage(
        new OrganisationUsageMessage(new ShardId("lector", "litoral", 1), 0, List.of(usage)), 1);
    placer.tick(2);

    assertThat(granted(placer.place(request("r2").tokens(50, 10).build(), 3))).isEmpty();
  }

  @Test
  void withoutPrefillUpstreamsPromptsArePrefilledOnDecodeUpstreams() {
    ReservingPlacer placer = placer(pool(1, 1, 2));
    placer.availability(new UpstreamName("prefill-0"), false, 0);

    assertThat(onlyGrant(placer.place(request("r1").build(), 1)).mode())
        .isEqualTo(GrantMode.LOCAL_PREFILL);
  }

  @Test
  void theEndOfThePrefillReleasesThePrefillUpstream() {
    ReservingPlacer placer = placer(pool(1, 1, 2));
    placer.place(request("r1").build(), 0);

    placer.report(progress("r1", 1, AttemptPhase.GENERATING), 100);
    placer.report(progress("r1", 1, AttemptPhase.PREFILLED), 101);

    assertThat(placer.view(101).upstreams())
        .allSatisfy(
            upstream ->
                assertThat(upstream.reserved())
                    .isEqualTo(upstream.role() == UpstreamRole.DECODE ? 1 : 0));
  }
}
