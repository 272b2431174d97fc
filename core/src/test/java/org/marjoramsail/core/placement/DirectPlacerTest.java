package org.marjoramsail.core.placement;

import static org.assertj.core.api.Assertions.assertThat;
import static org.marjoramsail.core.placement.PlacementFixtures.MODEL_SHARD;
import static org.marjoramsail.core.placement.PlacementFixtures.load;
import static org.marjoramsail.core.placement.PlacementFixtures.onlyGrant;
import static org.marjoramsail.core.placement.PlacementFixtures.pool;
import static org.marjoramsail.core.placement.PlacementFixtures.refused;
import static org.marjoramsail.core.placement.PlacementFixtures.request;
import static org.marjoramsail.core.placement.PlacementFixtures.setup;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.marjoramsail.core.failure.RefusalReason;
import org.marjoramsail.core.failure.RunState;
import org.marjoramsail.core.model.UpstreamName;
import org.marjoramsail.core.model.UpstreamRole;

final class DirectPlacerTest {

  private static Placer placer(PlacementPolicy policy) {
    return policy.create(setup(MODEL_SHARD, pool(2, 3, 20), false), 0);
  }

  private static List<String> targets(Placer placer, int count) {
    List<String> targets = new ArrayList<>();
    for (int number = 0; number < count; number++) {
      targets.add(onlyGrant(placer.place(request("r" + number).build(), 0)).target().value());
    }
    return targets;
  }

  @Test
  void roundRobinTakesDecodeUpstreamsInTurn() {
    List<String> targets = targets(placer(PlacementPolicy.ROUND_ROBIN), 6);

    assertThat(targets.subList(0, 3)).doesNotHaveDuplicates();
    assertThat(targets.subList(3, 6)).isEqualTo(targets.subList(0, 3));
  }

  @Test
  void leastLoadTakesTheUpstreamWithTheLeastReportedLoadUntilTheNextReport() {
    Placer placer = placer(PlacementPolicy.LEAST_LOAD);
    placer.load(load("decode-0", UpstreamRole.DECODE, 20, 5), 0);
    placer.load(load("decode-1", UpstreamRole.DECODE, 20, 1), 0);
    placer.load(load("decode-2", UpstreamRole.DECODE, 20, 9), 0);

    assertThat(targets(placer, 10)).containsOnly("decode-1");
  }

  @Test
  void twoChoicesNeverTakesTheMostLoadedOfAllUnlessItDrewItTwice() {
    Placer placer = placer(PlacementPolicy.TWO_CHOICES);
    placer.load(load("decode-0", UpstreamRole.DECODE, 20, 0), 0);
    placer.load(load("decode-1", UpstreamRole.DECODE, 20, 0), 0);
    placer.load(load("decode-2", UpstreamRole.DECODE, 20, 20), 0);

    List<String> targets = targets(placer, 300);
    long loaded = targets.stream().filter("decode-2"::equals).count();
    assertThat(loaded).isBetween(1L, 60L);
    assertThat(targets).contains("decode-0", "decode-1");
  }

  @Test
  void aPromptWithALiveKvCacheIsNotPrefilledAgain() {
    Grant grant =
        onlyGrant(
            placer(PlacementPolicy.ROUND_ROBIN)
                .place(request("r").attempt(2).kvHeldBy("prefill-1").build(), 0));

    assertThat(grant.prefill()).contains(new UpstreamName("prefill-1"));
    assertThat(grant.expectedPrefillMillis()).isZero();
  }

  @Test
  void anAttemptAvoidsUpstreamsOfFailedAttemptsAndIsRefusedAsNotRunWhereNoneIsLeft() {
    Placer placer = placer(PlacementPolicy.LEAST_LOAD);

    assertThat(
            onlyGrant(placer.place(request("r").avoid("decode-0", "decode-1").build(), 0)).target())
        .isEqualTo(new UpstreamName("decode-2"));
    assertThat(
            refused(
                placer.place(request("s").avoid("decode-0", "decode-1", "decode-2").build(), 0)))
        .singleElement()
        .satisfies(
            refused -> {
              assertThat(refused.refusal().reason()).isEqualTo(RefusalReason.NO_UPSTREAM);
              assertThat(refused.refusal().runState()).isEqualTo(RunState.NOT_RUN);
            });
  }

  @Test
  void anUnavailableUpstreamReceivesNoRequests() {
    Placer placer = placer(PlacementPolicy.ROUND_ROBIN);
    placer.availability(new UpstreamName("decode-1"), false, 0);

    assertThat(targets(placer, 6)).doesNotContain("decode-1");
  }

  @Test
  void aRepeatedAttemptReceivesTheSameGrant() {
    Placer placer = placer(PlacementPolicy.ROUND_ROBIN);
    Grant first = onlyGrant(placer.place(request("r").build(), 0));

    assertThat(onlyGrant(placer.place(request("r").build(), 10))).isEqualTo(first);
    assertThat(first.prefill()).isNotEqualTo(Optional.empty());
  }
}
