package org.marjoramsail.core.discovery;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.marjoramsail.core.configuration.UpstreamDefinition;
import org.marjoramsail.core.model.UpstreamName;
import org.marjoramsail.core.model.UpstreamRole;

class UpstreamBeliefsTest {

  private static final long BACK = 10_000;

  private final UpstreamBeliefs beliefs = new UpstreamBeliefs();

  @Test
  void nothingIsKnownBeforeTheFirstList() {
    assertThat(beliefs.isKnown()).isFalse();
    beliefs.listed(List.of(), 0);
    assertThat(beliefs.isKnown()).isTrue();
  }

  /**
   * The platform's store was down for seconds, and entries of servers that lived all the while
   * lapsed in it. When it came back, its first list was nearly empty, and every request was refused
   * for want of a server until the entries were written anew.
   */
  @Test
  void entriesThatLapsedInAnOutageAreBelievedUntilTheyHadTimeToReturn() {
    beliefs.listed(List.of(listed("a", 1, false), listed("b", 2, false)), 0);
    beliefs.lost();

    assertThat(beliefs.listed(List.of(), BACK)).isFalse();
    assertThat(names()).containsExactlyInAnyOrder("a", "b");

    beliefs.changed(listed("a", 9, false), BACK + 1_500);
    assertThat(beliefs.tick(BACK + UpstreamBeliefs.RETURN_MILLIS)).isTrue();
    assertThat(names()).containsExactly("a");
  }

  /**
   * A server left without a word while the list could be read: its entry was removed. Believing in
   * it any longer would have sent it work after it had gone.
   */
  @Test
  void anEntryThatIsRemovedWhileTheListIsReadIsGoneAtOnce() {
    beliefs.listed(List.of(listed("a", 1, false)), 0);
    assertThat(beliefs.removed(new UpstreamName("a"), BACK)).isTrue();
    assertThat(names()).isEmpty();
  }

  /**
   * A server had said that it was leaving before the outage, and its entry was missing after it.
   * Those that leave do not come back.
   */
  @Test
  void aLeavingEntryThatIsMissingAfterAnOutageIsGone() {
    beliefs.listed(List.of(listed("a", 1, true)), 0);
    beliefs.lost();
    beliefs.listed(List.of(), BACK);
    assertThat(names()).isEmpty();
  }

  /** A change that was under way for long arrives after a newer one. */
  @Test
  void anOlderEntryChangesNothing() {
    beliefs.listed(List.of(listed("a", 5, true)), 0);
    assertThat(beliefs.changed(listed("a", 4, false), 1)).isFalse();
    assertThat(beliefs.upstreams().get(0).drained()).isTrue();
  }

  private List<String> names() {
    return beliefs.upstreams().stream().map(one -> one.name().value()).toList();
  }

  private static ListedUpstream listed(String name, long revision, boolean drained) {
    return new ListedUpstream(
        new UpstreamDefinition(
            new UpstreamName(name),
            "service",
            UpstreamRole.PLAIN,
            "10.0.0.1",
            80,
            "zone",
            "region",
            4,
            true,
            drained),
        revision);
  }
}
