package org.marjoramsail.core.placement;

import static org.assertj.core.api.Assertions.assertThat;
import static org.marjoramsail.core.placement.PlacementFixtures.granted;
import static org.marjoramsail.core.placement.PlacementFixtures.onlyGrant;
import static org.marjoramsail.core.placement.PlacementFixtures.plainPlacer;
import static org.marjoramsail.core.placement.PlacementFixtures.plainPool;

import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.marjoramsail.core.model.RequestId;
import org.marjoramsail.core.model.UpstreamName;
import org.marjoramsail.core.model.UpstreamRole;

final class PlainPlacementTest {

  private static PlacementRequest lookup(String name) {
    return PlacementFixtures.request(name).tokens(0, 0).build();
  }

  private static void fail(ReservingPlacer placer, String name, String upstream, long nowMillis) {
    placer.report(
        new AttemptReport(
            new RequestId(name),
            1,
            AttemptPhase.ENDED,
            Optional.of(AttemptResult.FAILED),
            Optional.of(new UpstreamName(upstream)),
            0,
            0,
            0),
        nowMillis);
  }

  @Test
  void requestsSpreadOverTheSlotsOfAllUpstreams() {
    ReservingPlacer placer = plainPlacer(plainPool(3, 2));
    for (int number = 0; number < 6; number++) {
      assertThat(placer.place(lookup("r" + number), 0)).hasSize(1);
    }

    assertThat(placer.place(lookup("r6"), 0)).isEmpty();
    assertThat(placer.view(0).upstreams()).allMatch(upstream -> upstream.reserved() == 2);
    assertThat(placer.view(0).waiting().get(0).missing()).isEqualTo("plain-slot");
  }

  /**
   * Guards against an upstream that responds to each request with an error at once, appears least
   * loaded and therefore attracts most requests.
   */
  @Test
  void anUpstreamThatKeepsFailingIsEjectedAndReadmittedSlowly() {
    ReservingPlacer placer = plainPlacer(plainPool(3, 20));
    for (int number = 0; number < 5; number++) {
      placer.place(lookup("r" + number), 0);
      fail(placer, "r" + number, "plain-0", 0);
    }

    assertThat(placer.view(1).upstreams().get(0).state()).isEqualTo("ejected");
    for (int number = 0; number < 10; number++) {
      assertThat(onlyGrant(placer.place(lookup("s" + number), 1)).target().value())
          .isNotEqualTo("plain-0");
    }
    assertThat(placer.view(1_500).upstreams().get(0).state()).isEqualTo("slow-start");
    assertThat(placer.view(20_000).upstreams().get(0).state()).isEqualTo("available");
  }

  /**
   * Guards against ejecting all upstreams of a service when a shared dependency fails for a moment.
   */
  @Test
  void atMostAThirdOfAPoolIsEjected() {
    ReservingPlacer placer = plainPlacer(plainPool(6, 20));
    for (int number = 0; number < 60; number++) {
      Grant grant = onlyGrant(placer.place(lookup("r" + number), 0));
      fail(placer, "r" + number, grant.target().value(), 0);
    }

    assertThat(placer.view(1).upstreams())
        .filteredOn(upstream -> upstream.state().equals("ejected"))
        .hasSizeLessThanOrEqualTo(2)
        .isNotEmpty();
  }

  /**
   * Guards against ejecting the last available upstream: unavailable upstreams must not count
   * towards the pool of which a third may be ejected.
   */
  @Test
  void theLastAvailableUpstreamIsNotEjected() {
    ReservingPlacer placer = plainPlacer(plainPool(3, 20));
    placer.availability(new UpstreamName("plain-0"), false, 0);
    placer.availability(new UpstreamName("plain-1"), false, 0);
    for (int number = 0; number < 20; number++) {
      placer.place(lookup("r" + number), 0);
      fail(placer, "r" + number, "plain-2", 0);
    }

    assertThat(onlyGrant(placer.place(lookup("next"), 1)).target().value()).isEqualTo("plain-2");
  }

  /** Two of three upstreams fail every request until they are ejected. */
  @Test
  void upstreamsThatFailEveryTimeAreEjectedWhileAnotherServes() {
    ReservingPlacer placer = plainPlacer(plainPool(3, 20));
    Map<String, String> targets = new TreeMap<>();
    for (int round = 0; round < 10; round++) {
      for (int number = 0; number < 3; number++) {
        targets.put("r" + round + number, place(placer, "r" + round + number));
      }
      targets.forEach((name, target) -> end(placer, name, target));
      targets.clear();
    }

    assertThat(placer.view(1).upstreams())
        .extracting(ShardView.UpstreamView::state)
        .containsExactly("ejected", "ejected", "available");
  }

  private static String place(ReservingPlacer placer, String name) {
    return onlyGrant(placer.place(lookup(name), 0)).target().value();
  }

  private static void end(ReservingPlacer placer, String name, String target) {
    if (target.equals("plain-2")) {
      placer.report(PlacementFixtures.ended(name, 1, AttemptResult.COMPLETED), 0);
    } else {
      fail(placer, name, target, 0);
    }
  }

  @Test
  void anUpstreamThatReportsDrainingGetsNoNewRequests() {
    ReservingPlacer placer = plainPlacer(plainPool(1, 2));
    placer.load(
        new LoadReport(new UpstreamName("plain-0"), 1, UpstreamRole.PLAIN, 2, 0, 0, 0, true, 0), 0);

    assertThat(placer.place(lookup("r1"), 1)).isEmpty();
    assertThat(granted(placer.load(PlacementFixtures.load("plain-0", UpstreamRole.PLAIN, 2, 0), 2)))
        .containsExactly("r1");
  }
}
