package org.marjoramsail.core.placement;

import static org.assertj.core.api.Assertions.assertThat;
import static org.marjoramsail.core.placement.PlacementFixtures.ended;
import static org.marjoramsail.core.placement.PlacementFixtures.granted;
import static org.marjoramsail.core.placement.PlacementFixtures.onlyGrant;
import static org.marjoramsail.core.placement.PlacementFixtures.placer;
import static org.marjoramsail.core.placement.PlacementFixtures.pool;
import static org.marjoramsail.core.placement.PlacementFixtures.poolWithMemory;
import static org.marjoramsail.core.placement.PlacementFixtures.progress;
import static org.marjoramsail.core.placement.PlacementFixtures.refused;
import static org.marjoramsail.core.placement.PlacementFixtures.request;
import static org.marjoramsail.core.placement.PlacementFixtures.withUpstreams;
import static org.marjoramsail.core.placement.PlacementFixtures.withVersions;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.marjoramsail.core.configuration.Configuration;
import org.marjoramsail.core.configuration.UpstreamDefinition;
import org.marjoramsail.core.failure.RefusalReason;
import org.marjoramsail.core.model.UpstreamName;
import org.marjoramsail.core.model.UpstreamRole;

/** Placement of outputs that only upstreams of one software version may continue. */
class ContinuationPlacementTest {

  private static final String OLD = "v1";
  private static final String NEW = "v2";
  private static final int SLOTS = 2;

  /** One decode upstream of the old version and two of the new one. */
  private final Configuration pool =
      withVersions(pool(1, 3, SLOTS), name -> name.equals("decode-0") ? OLD : NEW);

  private final ReservingPlacer placer = placer(pool);

  /** Guards against output of two versions where the required one is busier than the others. */
  @Test
  void aContinuationIsGrantedItsVersionOnly() {
    placer.place(request("other").tokens(10, 10).continuing(OLD).build(), 0);

    Grant grant = onlyGrant(placer.place(request("r").tokens(10, 10).continuing(OLD).build(), 1));

    assertThat(grant.target()).isEqualTo(new UpstreamName("decode-0"));
  }

  /** Guards against continuations that lose the few slots of their version to new requests. */
  @Test
  void aFreedSlotGoesToAContinuationBeforeRequestsThatArrivedEarlier() {
    fillAllSlots();
    for (int number = 0; number < 10; number++) {
      placer.place(request("new-" + number).tokens(10, 10).build(), 10);
    }
    placer.place(request("continuation").tokens(10, 10).continuing(OLD).build(), 20);

    List<PlacementResult> results = endOneOn("decode-0", 30);

    assertThat(granted(results)).containsExactly("continuation");
  }

  /** Guards against small requests that take the memory of a version from a larger continuation. */
  @Test
  void memoryThatIsFreedIsLeftToAContinuationThatDoesNotFitYet() {
    ReservingPlacer bounded =
        placer(
            withVersions(
                poolWithMemory(1, 2, 48, 2_000), name -> name.equals("decode-0") ? OLD : NEW));
    bounded.place(request("old-1").tokens(10, 900).continuing(OLD).build(), 0);
    bounded.place(request("old-2").tokens(10, 700).continuing(OLD).build(), 0);
    bounded.place(request("waiting").tokens(10, 1_500).continuing(OLD).build(), 10);

    List<PlacementResult> results =
        new ArrayList<>(bounded.report(ended("old-2", 1, AttemptResult.COMPLETED), 20));
    for (int number = 0; number < 4; number++) {
      results.addAll(bounded.place(request("new-" + number).tokens(10, 200).build(), 20));
    }

    assertThat(results)
        .filteredOn(PlacementResult.Granted.class::isInstance)
        .hasSize(4)
        .allSatisfy(
            granted ->
                assertThat(((PlacementResult.Granted) granted).grant().target().value())
                    .isEqualTo("decode-1"));
    assertThat(granted(bounded.report(ended("old-1", 1, AttemptResult.COMPLETED), 30)))
        .containsExactly("waiting");
  }

  /** Guards against continuations of one version that hold up the requests behind them. */
  @Test
  void continuationsThatWaitForTheirVersionHoldUpNothingElse() {
    fillAllSlots();
    for (int number = 0; number < 20; number++) {
      placer.place(request("old-" + number).tokens(10, 10).continuing(OLD).build(), 10);
    }
    placer.place(request("new").tokens(10, 10).continuing(NEW).build(), 20);
    placer.place(request("any").tokens(10, 10).build(), 20);

    List<PlacementResult> first = endOneOn("decode-1", 30);
    List<PlacementResult> second = endOneOn("decode-1", 40);

    assertThat(granted(first)).containsExactly("new");
    assertThat(granted(second)).containsExactly("any");
  }

  /** Guards against continuations that wait for a version until their deadline. */
  @Test
  void waitingContinuationsAreRefusedOnceNoUpstreamOfTheirVersionIsLeft() {
    fillAllSlots();
    placer.place(request("old").tokens(10, 10).continuing(OLD).build(), 10);
    placer.place(request("any").tokens(10, 10).build(), 10);
    List<UpstreamDefinition> left =
        pool.upstreams().stream()
            .filter(upstream -> !upstream.name().value().equals("decode-0"))
            .toList();

    List<PlacementResult> results = placer.configure(withUpstreams(pool, left), 20);

    assertThat(refused(results)).singleElement().satisfies(this::isRefusedForItsVersion);
  }

  /** Guards against the same where the version is no longer listed when the request arrives. */
  @Test
  void aContinuationOfAVersionWithoutUpstreamsIsRefusedAtOnce() {
    List<PlacementResult> results =
        placer.place(request("old").tokens(10, 10).continuing("v0").build(), 0);

    assertThat(refused(results)).singleElement().satisfies(this::isRefusedForItsVersion);
  }

  /** Guards against an owner without a list that sends callers away for good. */
  @Test
  void anOwnerThatKnowsNoUpstreamAsksTheCallerOfAContinuationBack() {
    List<PlacementResult> results =
        placer(pool(0, 0, SLOTS)).place(request("old").tokens(10, 10).continuing(OLD).build(), 0);

    assertThat(refused(results))
        .singleElement()
        .satisfies(
            refused -> {
              assertThat(refused.refusal().reason()).isEqualTo(RefusalReason.NO_UPSTREAM);
              assertThat(refused.refusal().retryAfterMillis()).isPresent();
            });
  }

  /** Guards against a change of role that takes a version its last decode upstream. */
  @Test
  void theLastDecodeUpstreamOfAVersionKeepsItsRole() {
    ReservingPlacer prefillBound =
        placer(withVersions(pool(1, 5, 48), name -> name.equals("decode-0") ? OLD : NEW));
    for (int number = 0; number < 8; number++) {
      String name = "r" + number;
      prefillBound.place(request(name).tokens(30_000, 10).continuing(NEW).build(), number * 1_000L);
      prefillBound.report(progress(name, 1, AttemptPhase.GENERATING), number * 1_000L + 900);
    }

    Optional<RoleChange> change = prefillBound.recommendedRoleChange(9_000);

    assertThat(change).map(RoleChange::role).contains(UpstreamRole.PREFILL);
    assertThat(change)
        .map(RoleChange::upstream)
        .isNotEqualTo(Optional.of(new UpstreamName("decode-0")));
  }

  private void isRefusedForItsVersion(PlacementResult.Refused refused) {
    assertThat(refused.refusal().reason()).isEqualTo(RefusalReason.VERSION_UNAVAILABLE);
    assertThat(refused.refusal().retryAfterMillis()).isEmpty();
  }

  private final List<Grant> grants = new ArrayList<>();

  private void fillAllSlots() {
    for (int number = 0; number < 3 * SLOTS; number++) {
      grants.add(onlyGrant(placer.place(request("filler-" + number).tokens(10, 10).build(), 0)));
    }
  }

  private List<PlacementResult> endOneOn(String upstream, long nowMillis) {
    Grant ending =
        grants.stream()
            .filter(grant -> grant.target().value().equals(upstream))
            .findFirst()
            .orElseThrow();
    grants.remove(ending);
    return placer.report(ended(ending.request().value(), 1, AttemptResult.COMPLETED), nowMillis);
  }
}
