package org.marjoramsail.daemon.forward;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalInt;
import org.junit.jupiter.api.Test;

final class AttemptEventsTest {

  /** Guards against the loss of the first event of a stream that is numbered from zero. */
  @Test
  void theFirstEventHasPositionZeroWhateverItsId() throws NonIncreasingIdException {
    assertThat(positions(new AttemptEvents(0, OptionalInt.empty()), 0, 1)).containsExactly(0, 1);
    assertThat(positions(new AttemptEvents(0, OptionalInt.empty()), 7, 9)).containsExactly(0, 1);
  }

  /** Guards against a stream that is broken off since its ids have gaps. */
  @Test
  void gapsBetweenIdsLeaveNoGapsBetweenPositions() throws NonIncreasingIdException {
    AttemptEvents events = new AttemptEvents(0, OptionalInt.empty());

    assertThat(positions(events, 1, 4, 100)).containsExactly(0, 1, 2);
  }

  /** Guards against the first events of a stream that goes on elsewhere, sent once more. */
  @Test
  void eventsThatTheCallerHasReceivedPrecedeTheNextPosition() throws NonIncreasingIdException {
    AttemptEvents events = new AttemptEvents(2, OptionalInt.of(4));

    assertThat(positions(events, 0, 4, 6, 9)).containsExactly(-1, 1, 2, 3);
  }

  /** Guards against a caller that resumes after event zero and receives it again. */
  @Test
  void aStreamThatIsResumedAfterIdZeroGoesOnWithTheEventBehindIt() throws NonIncreasingIdException {
    AttemptEvents events = new AttemptEvents(0, OptionalInt.of(0));

    assertThat(positions(events, 0, 1)).containsExactly(-1, 0);
  }

  /** Guards against a stream that is broken off since one of its events was sent twice. */
  @Test
  void anEventThatIsSentTwiceHasOnePosition() throws NonIncreasingIdException {
    AttemptEvents events = new AttemptEvents(0, OptionalInt.empty());

    assertThat(positions(events, 1, 2, 2, 3)).containsExactly(0, 1, 1, 2);
  }

  /** Guards against events that are dropped in a stream which then ends as complete. */
  @Test
  void anIdThatDoesNotIncreaseIsRejectedWithBothIds() throws NonIncreasingIdException {
    AttemptEvents events = new AttemptEvents(0, OptionalInt.empty());
    positions(events, 3);

    assertThatThrownBy(() -> events.indexOf(new EventSplitter.Event(3, "another text")))
        .isInstanceOf(NonIncreasingIdException.class)
        .hasMessageContaining("3 follows id 3");
  }

  private static List<Integer> positions(AttemptEvents events, int... ids)
      throws NonIncreasingIdException {
    List<Integer> positions = new ArrayList<>();
    for (int id : ids) {
      positions.add(events.indexOf(new EventSplitter.Event(id, "text " + id)));
    }
    return positions;
  }
}
