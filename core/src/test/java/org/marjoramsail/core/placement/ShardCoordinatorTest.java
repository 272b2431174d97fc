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
      new ShardCoordinator(SHARD, placer, PlacementTimings.standard());

  // A user sees a pool that refuses work though its engines are idle. In order: an attempt waits
  // here, its entry turns to another owner, is granted there, turns back, and the end arrives here
  // before any restore. Cause: the placer knew the attempt as waiting and granted it to nobody.
  @Test
  void theEndOfAWaitingAttemptRemovesIt() {
    place("first");
    place("second");

    coordinator.handle(ENTRY, new PlacementMessage.Report(SHARD, ended("second"), List.of()), 10);
    coordinator.handle(ENTRY, new PlacementMessage.Report(SHARD, ended("first"), List.of()), 20);

    assertThat(placer.held()).isZero();
    assertThat(placer.waiting()).isZero();
  }

  // A user waits for an answer though an engine is reserved for the request. In order: the owner
  // grants, the message is lost, the entry repeats what it holds. Cause: nobody told it again.
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

  // A pool loses a slot for good. In order: a grant is held, the message of its end is lost, the
  // entry no longer speaks of it. Cause: the owner waited for a message that never comes.
  @Test
  void anAttemptThatItsEntryDaemonNoLongerReportsIsReleasedAfterItsExpiry() {
    place("first");

    coordinator.tick(PlacementTimings.standard().expiryMillis());
    assertThat(placer.held()).isEqualTo(1);
    coordinator.tick(2 * PlacementTimings.standard().expiryMillis());

    assertThat(placer.held()).isZero();
  }

  // A user waits until the deadline though servers are free. In order: the user's daemon stands
  // still, is declared dead, goes on, sends the request and is taken back. Cause: the owner dropped
  // the request as a late one of a dead daemon and yet told the daemon that it waits.
  @Test
  void requestsFromADaemonWronglyDeclaredDeadAreRequestedAgainAfterItsRecovery() {
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

  // All lookups are refused for as long as anyone looks, though both servers are idle. In order:
  // all
  // daemons lose their power and start again, lookups reach the new owner before it knows that
  // their
  // daemons live, it takes them as back, and the lookups end. Cause: the owner had forgotten the
  // registrations, dropped the ends, and held the slots for ever.
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

  /** A ledger before the placer that daemons use, with one plain server of one slot. */
  private static ShardCoordinator coordinatorWithReservingPlacer() {
    return new ShardCoordinator(
        SHARD,
        PlacementFixtures.plainPlacer(PlacementFixtures.plainPool(1, 1)),
        PlacementTimings.standard());
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
