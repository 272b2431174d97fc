package org.marjoramsail.core.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.marjoramsail.core.model.DaemonId;
import org.marjoramsail.core.model.RequestId;
import org.marjoramsail.core.model.ServiceClass;
import org.marjoramsail.core.model.UpstreamName;

final class ShardCoordinatorTest {

  private static final ShardId SHARD = new ShardId("ventanilla", "litoral", 0);
  private static final DaemonId ENTRY = new DaemonId("host-1", 1);

  private final SlotCountingPlacer placer = new SlotCountingPlacer(1);
  private final ShardCoordinator coordinator =
      new ShardCoordinator(
          SHARD, placer, PlacementTimings.standard(), new RetryBudget(RetryLimits.standard()));

  // Guards against a slot that is held for good: an attempt waits here, is granted by another
  // owner, and its end arrives here before any restore. The placer must not grant it afterwards.
  @Test
  void theEndOfAWaitingAttemptRemovesIt() {
    place("first");
    place("second");

    coordinator.handle(ENTRY, new PlacementMessage.Report(SHARD, ended("second"), List.of()), 10);
    coordinator.handle(ENTRY, new PlacementMessage.Report(SHARD, ended("first"), List.of()), 20);

    assertThat(placer.held()).isZero();
    assertThat(placer.waiting()).isZero();
  }

  // Guards against a reserved slot that is never used: the grant message is lost, and the entry
  // daemon repeats its holdings.
  @Test
  void aLostGrantIsSentAgainWhenTheEntryDaemonRepeatsItsHoldings() {
    place("first");

    List<ShardCoordinator.Outgoing> messages =
        coordinator.handle(
            ENTRY,
            new PlacementMessage.Holdings(
                SHARD, List.of(new PlacementMessage.Holding(new RequestId("first"), 1, false))),
            10);

    assertThat(messages)
        .extracting(ShardCoordinator.Outgoing::message)
        .anyMatch(PlacementMessage.Granted.class::isInstance);
  }

  // Guards against a slot that is held for good after the message of an attempt's end was lost.
  @Test
  void anAttemptThatItsEntryDaemonNoLongerReportsIsReleasedAfterItsExpiry() {
    place("first");

    coordinator.tick(PlacementTimings.standard().expiryMillis());
    assertThat(placer.held()).isEqualTo(1);
    coordinator.tick(2 * PlacementTimings.standard().expiryMillis());

    assertThat(placer.held()).isZero();
  }

  // Guards against a request that waits until its deadline although upstreams are free: its daemon
  // is wrongly declared failed, sends the request and recovers. The placer ignored the request, so
  // its registration must not remain.
  @Test
  void requestsFromADaemonWronglyDeclaredFailedAreRequestedAgainAfterItsRecovery() {
    ShardCoordinator reserving = coordinatorWithReservingPlacer();
    PlacementMessage place =
        new PlacementMessage.Place(SHARD, placementRequest("first"), List.of());
    PlacementMessage.Holding holding =
        new PlacementMessage.Holding(new RequestId("first"), 1, false);
    reserving.daemonFailed(ENTRY, 0);
    reserving.handle(ENTRY, place, 10);
    reserving.daemonRecovered(ENTRY);

    assertThat(reserving.handle(ENTRY, new PlacementMessage.Holdings(SHARD, List.of(holding)), 20))
        .extracting(ShardCoordinator.Outgoing::message)
        .containsExactly(new PlacementMessage.Unknown(SHARD, List.of(holding)));
    assertThat(reserving.handle(ENTRY, place, 30))
        .extracting(ShardCoordinator.Outgoing::message)
        .hasOnlyElementsOfType(PlacementMessage.Granted.class);
  }

  @Test
  void placingTheSameAttemptAgainTakesNoSecondSlot() {
    place("first");
    List<ShardCoordinator.Outgoing> again = place("first");

    assertThat(placer.held()).isEqualTo(1);
    assertThat(again).hasSize(1);
    assertThat(again.get(0).message()).isInstanceOf(PlacementMessage.Granted.class);
  }

  @Test
  void anAttemptGrantedElsewhereCountsHereOnceItIsRestored() {
    Grant grant =
        new Grant(
            new RequestId("first"),
            1,
            GrantMode.PLAIN,
            Optional.empty(),
            new UpstreamName("only"),
            0,
            0);
    coordinator.handle(
        ENTRY,
        new PlacementMessage.Restore(
            SHARD, placementRequest("first"), grant, AttemptPhase.GENERATING, List.of()),
        0);
    place("second");

    assertThat(placer.held()).isEqualTo(1);
    assertThat(placer.waiting()).isEqualTo(1);
  }

  // Guards against slots that are held for good: restarted daemons place requests before their
  // recovery is detected. Their registrations must remain, or the ends of these requests are
  // ignored.
  @Test
  void attemptsOfARecoveredDaemonAreReleasedWhenTheyEnd() {
    ShardCoordinator reserving = coordinatorWithReservingPlacer();
    reserving.handle(
        ENTRY, new PlacementMessage.Place(SHARD, placementRequest("first"), List.of()), 0);

    reserving.daemonRecovered(ENTRY);
    reserving.handle(ENTRY, new PlacementMessage.Report(SHARD, ended("first"), List.of()), 20);

    assertThat(
            reserving.handle(
                ENTRY,
                new PlacementMessage.Place(SHARD, placementRequest("second"), List.of()),
                30))
        .extracting(ShardCoordinator.Outgoing::message)
        .anyMatch(PlacementMessage.Granted.class::isInstance);
  }

  /** Returns a coordinator of a reserving placer with one plain upstream of one slot. */
  private static ShardCoordinator coordinatorWithReservingPlacer() {
    return new ShardCoordinator(
        SHARD,
        PlacementFixtures.plainPlacer(PlacementFixtures.plainPool(1, 1)),
        PlacementTimings.standard(),
        new RetryBudget(RetryLimits.standard()));
  }

  private List<ShardCoordinator.Outgoing> place(String request) {
    return coordinator.handle(
        ENTRY, new PlacementMessage.Place(SHARD, placementRequest(request), List.of()), 0);
  }

  private static PlacementRequest placementRequest(String request) {
    return new PlacementRequest(
        new RequestId(request),
        1,
        ENTRY,
        "ventanilla",
        "rosario",
        "lookups",
        ServiceClass.QUICK,
        0,
        0,
        List.of(),
        0,
        500,
        60_000,
        List.of(),
        Optional.empty(),
        false);
  }

  private static AttemptReport ended(String request) {
    return new AttemptReport(
        new RequestId(request),
        1,
        AttemptPhase.ENDED,
        Optional.of(AttemptResult.COMPLETED),
        Optional.empty(),
        0,
        1,
        0);
  }
}
