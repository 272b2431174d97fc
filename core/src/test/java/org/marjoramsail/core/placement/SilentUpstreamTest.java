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
 * Two engines lost their power and closed no connection. Summaries that may run only once were sent
 * to them for seconds, until each of their slots held one, and all of these were lost.
 */
class SilentUpstreamTest {

  private static final int MEMORY_TOKENS = 200_000;

  private final ReservingPlacer placer = shortLivedPlacer(poolWithMemory(2, 2, 16, MEMORY_TOKENS));
  private int requests;

  @Test
  void anEngineThatOwesAFirstPieceGetsNoOtherRequestWhileAnotherServes() {
    Grant lost = read(0);
    String silent = lost.target().value();

    Set<String> targets = targetsOf(10, 1_000);

    assertThat(targets).doesNotContain(silent).hasSize(1);
  }

  @Test
  void itIsUsedAgainOnceThePieceComes() {
    Grant late = read(0);
    targetsOf(10, 1_000);
    placer.report(progress(late.request().value(), 1, AttemptPhase.GENERATING), 1_100);

    assertThat(targetsOf(10, 1_200)).contains(late.target().value());
  }

  /** In a burst a request waited for memory on an engine that ended others all the while. */
  @Test
  void anEngineThatGivesSignsOfOtherRequestsIsNotSilent() {
    Grant waiting = read(0);
    String full = waiting.target().value();
    Grant other = read(1);
    while (!other.target().value().equals(full)) {
      other = read(1);
    }
    placer.report(progress(other.request().value(), 1, AttemptPhase.GENERATING), 900);

    assertThat(targetsOf(10, 1_000)).contains(full);
  }

  /** A daemon was cut off; what it would have told of its requests says nothing of the engines. */
  @Test
  void aDaemonThatIsNotHeardOfSaysNothingAboutEngines() {
    Grant cut = read("cut", 0, PlacementFixtures.OTHER_ENTRY);

    assertThat(targetsOf(10, 1_000)).contains(cut.target().value());
  }

  @Test
  void whereAllOweASignAllAreUsed() {
    Set<String> owing = new HashSet<>();
    for (int count = 0; count < 8; count++) {
      owing.add(read(0).target().value());
    }
    assertThat(owing).hasSize(2);

    Grant next = onlyGrant(placer.place(request("next").tokens(1_000, 100).build(), 1_000));

    assertThat(owing).contains(next.target().value());
  }

  private Set<String> targetsOf(int count, long nowMillis) {
    Set<String> targets = new HashSet<>();
    for (int number = 0; number < count; number++) {
      Grant grant = read(nowMillis);
      placer.report(progress(grant.request().value(), 1, AttemptPhase.GENERATING), nowMillis);
      targets.add(grant.target().value());
    }
    return targets;
  }

  private Grant read(long nowMillis) {
    return read("r" + requests++, nowMillis, PlacementFixtures.ENTRY);
  }

  /** Places a request whose prompt is read at once. */
  private Grant read(String name, long nowMillis, DaemonId entry) {
    Grant grant =
        onlyGrant(placer.place(request(name).entry(entry).tokens(1_000, 100).build(), nowMillis));
    placer.report(progress(name, 1, AttemptPhase.PREFILLED), nowMillis);
    return grant;
  }
}
