package org.marjoramsail.core.placement;

import static org.assertj.core.api.Assertions.assertThat;
import static org.marjoramsail.core.placement.PlacementFixtures.granted;
import static org.marjoramsail.core.placement.PlacementFixtures.plainPool;
import static org.marjoramsail.core.placement.PlacementFixtures.pool;
import static org.marjoramsail.core.placement.PlacementFixtures.refused;
import static org.marjoramsail.core.placement.PlacementFixtures.request;

import org.junit.jupiter.api.Test;
import org.marjoramsail.core.failure.RefusalReason;
import org.marjoramsail.core.model.ServiceClass;

/**
 * Guards against an owner that has just restarted, has not read the list of upstreams, and refuses
 * all requests of the pool as if no upstream were left.
 */
class OwnerWithoutPoolTest {

  private static final long TARGET = 900;

  private final ReservingPlacer placer = PlacementFixtures.placer(plainPool(1, 1));

  @Test
  void aRequestWaitsUntilTheUpstreamsAreKnown() {
    assertThat(placer.place(model("early"), 0)).isEmpty();

    assertThat(granted(placer.configure(pool(1, 1, 4), 600))).containsExactly("early");
  }

  /** Guards against requests that wait for upstreams that do not exist. */
  @Test
  void aRequestIsRefusedAtOnceOnceTheListShouldBeKnown() {
    assertThat(refused(placer.place(model("late"), 2_000)))
        .extracting(refused -> refused.refusal().reason())
        .containsExactly(RefusalReason.NO_UPSTREAM);
  }

  @Test
  void aRequestIsRefusedAtItsTargetIfNoUpstreamWasListed() {
    placer.place(model("early"), 0);

    assertThat(refused(placer.tick(TARGET)))
        .extracting(refused -> refused.refusal().reason())
        .containsExactly(RefusalReason.NO_UPSTREAM);
  }

  private static PlacementRequest model(String name) {
    return request(name).serviceClass(ServiceClass.QUICK).within(TARGET, 14_000).build();
  }
}
