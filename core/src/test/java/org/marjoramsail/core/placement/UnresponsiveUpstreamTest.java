package org.marjoramsail.core.placement;

import static org.assertj.core.api.Assertions.assertThat;
import static org.marjoramsail.core.placement.PlacementFixtures.onlyGrant;
import static org.marjoramsail.core.placement.PlacementFixtures.poolWithMemory;
import static org.marjoramsail.core.placement.PlacementFixtures.progress;
import static org.marjoramsail.core.placement.PlacementFixtures.request;
import static org.marjoramsail.core.placement.PlacementFixtures.shortLivedPlacer;

import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.marjoramsail.core.model.DaemonId;

/**
 * Guards against sending requests that may run only once to an engine that stopped responding
 * without closing its connections.
 */
class UnresponsiveUpstreamTest {

  private static final int MEMORY_TOKENS = 200_000;

  private final ReservingPlacer placer = shortLivedPlacer(poolWithMemory(2, 2, 16, MEMORY_TOKENS));
  private int requests;

  @Test
  void anEngineWhoseFirstOutputIsOverdueGetsNoRequestWhileAnotherResponds() {
    Grant lost = placePrefilled(0);
    String unresponsive = lost.target().value();

    Set<String> targets = targetsOf(10, 1_000);

    assertThat(targets).doesNotContain(unresponsive).hasSize(1);
  }

  @Test
  void itIsUsedAgainOnceTheFirstOutputArrives() {
    Grant late = placePrefilled(0);
    targetsOf(10, 1_000);
    placer.report(progress(late.request().value(), 1, AttemptPhase.GENERATING), 1_100);

    assertThat(targetsOf(10, 1_200)).contains(late.target().value());
  }

  /** A request that waits for memory does not make an engine unresponsive that completes others. */
  @Test
  void anEngineThatMakesProgressOnOtherRequestsIsNotUnresponsive() {
    Grant waiting = placePrefilled(0);
    String full = waiting.target().value();
    Grant other = placePrefilled(1);
    while (!other.target().value().equals(full)) {
      other = placePrefilled(1);
    }
    placer.report(progress(other.request().value(), 1, AttemptPhase.GENERATING), 900);

    assertThat(targetsOf(10, 1_000)).contains(full);
  }

  /** A disconnected daemon cannot report progress, so its requests are not counted. */
  @Test
  void requestsOfADaemonThatSendsNoMessagesDoNotCount() {
    Grant disconnected = placePrefilled("cut", 0, PlacementFixtures.OTHER_ENTRY);

    assertThat(targetsOf(10, 1_000)).contains(disconnected.target().value());
  }

  @Test
  void allEnginesAreUsedWhenAllAreOverdue() {
    Set<String> overdue = new HashSet<>();
    for (int count = 0; count < 8; count++) {
      overdue.add(placePrefilled(0).target().value());
    }
    assertThat(overdue).hasSize(2);

    Grant next = onlyGrant(placer.place(request("next").tokens(1_000, 100).build(), 1_000));

    assertThat(overdue).contains(next.target().value());
  }

  private Set<String> targetsOf(int count, long nowMillis) {
    Set<String> targets = new HashSet<>();
    for (int number = 0; number < count; number++) {
      Grant grant = placePrefilled(nowMillis);
      placer.report(progress(grant.request().value(), 1, AttemptPhase.GENERATING), nowMillis);
      targets.add(grant.target().value());
    }
    return targets;
  }

  private Grant placePrefilled(long nowMillis) {
    return placePrefilled("r" + requests++, nowMillis, PlacementFixtures.ENTRY);
  }

  /** Places a request and reports its prefill as complete at once. */
  private Grant placePrefilled(String name, long nowMillis, DaemonId entry) {
    Grant grant =
        onlyGrant(placer.place(request(name).entry(entry).tokens(1_000, 100).build(), nowMillis));
    placer.report(progress(name, 1, AttemptPhase.PREFILLED), nowMillis);
    return grant;
  }
}
