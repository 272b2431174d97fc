package org.marjoramsail.core.feedback;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.marjoramsail.core.configuration.UpstreamDefinition;
import org.marjoramsail.core.model.Incarnation;
import org.marjoramsail.core.model.UpstreamName;
import org.marjoramsail.core.model.UpstreamRole;

/** Tests the table of feedback that a host has received from upstreams. */
class UpstreamFeedbackTableTest {

  private static final UpstreamName NAME = new UpstreamName("plain-0");
  private static final Incarnation FIRST_INCARNATION = new Incarnation(NAME, 1_000);
  private static final Incarnation NEXT_INCARNATION = new Incarnation(NAME, 2_000);
  private static final UpstreamFeedback DRAINING =
      new UpstreamFeedback(Optional.empty(), true, Optional.empty(), 0);
  private static final UpstreamFeedback UNREADABLE =
      new UpstreamFeedback(Optional.empty(), false, Optional.empty(), 1);

  private final UpstreamFeedbackTable table = new UpstreamFeedbackTable();

  @Test
  void aLimitHoldsUntilAResponseHasNone() {
    assertThat(receive(limit(4))).containsExactly(FeedbackChange.LIMIT_STATED);
    assertThat(receive(limit(4))).isEmpty();
    assertThat(receive(limit(2))).containsExactly(FeedbackChange.LIMIT_CHANGED);
    assertThat(table.limited()).isEqualTo(1);

    assertThat(receive(UpstreamFeedback.NOTHING)).containsExactly(FeedbackChange.LIMIT_ENDED);
    assertThat(table.limited()).isZero();
  }

  @Test
  void anInvalidLimitNeitherSetsNorEndsOne() {
    assertThat(receive(UNREADABLE)).containsExactly(FeedbackChange.UNREADABLE);
    assertThat(table.limited()).isZero();

    receive(limit(4));
    receive(UNREADABLE);

    assertThat(table.limited()).isEqualTo(1);
  }

  @Test
  void drainingIsFinalForOneIncarnationAndDoesNotAffectTheNext() {
    assertThat(receive(DRAINING)).containsExactly(FeedbackChange.LEAVING_STATED);
    assertThat(receive(UpstreamFeedback.NOTHING)).isEmpty();
    assertThat(table.leaving()).isEqualTo(1);

    assertThat(table.update(NEXT_INCARNATION, UpstreamFeedback.NOTHING, 10)).isEmpty();
    assertThat(table.leaving()).isEqualTo(1);
  }

  @Test
  void aPauseHoldsForTheLongestRequestedTime() {
    table.update(FIRST_INCARNATION, pause(3_000), 0);
    table.update(FIRST_INCARNATION, pause(500), 1_000);

    assertThat(table.paused(2_999)).isEqualTo(1);
    assertThat(table.paused(3_000)).isZero();
  }

  /**
   * Guards against new work on an upstream that is draining, after its entry expired in an outage
   * of the store and was written again.
   */
  @Test
  void feedbackIsKeptWhileItsIncarnationIsNotListed() {
    receive(DRAINING);

    table.listed(Set.of(), 30_000);

    assertThat(table.leaving()).isEqualTo(1);
    table.listed(Set.of(), 600_001);
    assertThat(table.leaving()).isZero();
  }

  /**
   * Guards against an upstream that an operator drains and restores and that would get no more
   * work: only draining that the upstream reports itself is final.
   */
  @Test
  void drainingByAnOperatorIsNotRelayedAsFeedback() {
    UpstreamDefinition drained = upstream("plain-1", true);
    UpstreamDefinition leaving = upstream("plain-2", false);
    table.update(leaving.incarnation(), DRAINING, 0);

    assertThat(table.toRelay(List.of(drained, leaving), 10))
        .containsExactly(
            new RelayedFeedback(
                leaving.name(), Incarnation.UNKNOWN_START, Optional.empty(), true, 0));
  }

  @Test
  void aLimitIsRelayedWithItsAge() {
    UpstreamDefinition limited = upstream("plain-1", false);
    table.update(limited.incarnation(), limit(4), 100);

    assertThat(table.toRelay(List.of(limited), 350))
        .containsExactly(
            new RelayedFeedback(
                limited.name(), Incarnation.UNKNOWN_START, Optional.of(4.0), false, 250));
  }

  @Test
  void anUpstreamAcceptsRequestsAfterAPauseButNotWhileItDrains() {
    table.update(FIRST_INCARNATION, pause(500), 0);
    assertThat(table.isAccepting(FIRST_INCARNATION, 499)).isFalse();
    assertThat(table.isAccepting(FIRST_INCARNATION, 500)).isTrue();

    receive(DRAINING);
    assertThat(table.isAccepting(FIRST_INCARNATION, 60_000)).isFalse();
    assertThat(table.isAccepting(NEXT_INCARNATION, 60_000)).isTrue();
  }

  private static UpstreamDefinition upstream(String name, boolean drained) {
    return new UpstreamDefinition(
        new UpstreamName(name),
        "desk",
        UpstreamRole.PLAIN,
        "127.0.0.1",
        1,
        "a",
        "litoral",
        6,
        true,
        drained);
  }

  private Set<FeedbackChange> receive(UpstreamFeedback feedback) {
    return table.update(FIRST_INCARNATION, feedback, 0);
  }

  private static UpstreamFeedback limit(double perSecond) {
    return new UpstreamFeedback(Optional.of(perSecond), false, Optional.empty(), 0);
  }

  private static UpstreamFeedback pause(long millis) {
    return new UpstreamFeedback(Optional.empty(), false, Optional.of(millis), 0);
  }
}
