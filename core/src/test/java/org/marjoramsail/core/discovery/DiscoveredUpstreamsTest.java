package org.marjoramsail.core.discovery;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.marjoramsail.core.configuration.UpstreamDefinition;
import org.marjoramsail.core.model.UpstreamName;
import org.marjoramsail.core.model.UpstreamRole;

class DiscoveredUpstreamsTest {

  private static final long RECOVERED_AT_MILLIS = 10_000;

  private final DiscoveredUpstreams discovered = new DiscoveredUpstreams();

  @Test
  void nothingIsKnownBeforeTheFirstList() {
    assertThat(discovered.isKnown()).isFalse();
    discovered.listed(List.of(), List.of(), 0);
    assertThat(discovered.isKnown()).isTrue();
  }

  /**
   * The platform's store was down for seconds, and entries of servers that lived all the while
   * lapsed in it. When it came back, its first list was nearly empty, and every request was refused
   * for want of a server until the entries were written anew.
   */
  @Test
  void entriesThatLapsedInAnOutageAreBelievedUntilTheyHadTimeToReturn() {
    discovered.listed(List.of(listed("a", 1, false), listed("b", 2, false)), List.of(), 0);
    discovered.readFailed();

    assertThat(discovered.listed(List.of(), List.of(), RECOVERED_AT_MILLIS)).isFalse();
    assertThat(names()).containsExactlyInAnyOrder("a", "b");

    discovered.changed(listed("a", 9, false), RECOVERED_AT_MILLIS + 1_500);
    assertThat(discovered.tick(RECOVERED_AT_MILLIS + DiscoveredUpstreams.REAPPEARANCE_MILLIS))
        .isTrue();
    assertThat(names()).containsExactly("a");
  }

  /**
   * A server left without a word while the list could be read: its entry was removed. Believing in
   * it any longer would have sent it work after it had gone.
   */
  @Test
  void anEntryThatIsRemovedWhileTheListIsReadIsGoneAtOnce() {
    discovered.listed(List.of(listed("a", 1, false)), List.of(), 0);
    assertThat(discovered.removed(new UpstreamName("a"), RECOVERED_AT_MILLIS)).isTrue();
    assertThat(names()).isEmpty();
  }

  /**
   * A server had said that it was leaving before the outage, and its entry was missing after it.
   * Those that leave do not come back.
   */
  @Test
  void aLeavingEntryThatIsMissingAfterAnOutageIsGone() {
    discovered.listed(List.of(listed("a", 1, true)), List.of(), 0);
    discovered.readFailed();
    discovered.listed(List.of(), List.of(), RECOVERED_AT_MILLIS);
    assertThat(names()).isEmpty();
  }

  /** A change that was under way for long arrives after a newer one. */
  @Test
  void anOlderEntryChangesNothing() {
    discovered.listed(List.of(listed("a", 5, true)), List.of(), 0);
    assertThat(discovered.changed(listed("a", 4, false), 1)).isFalse();
    assertThat(discovered.upstreams().get(0).drained()).isTrue();
  }

  /**
   * A server crashed while it could not reach the list, and was back under its name. What its
   * earlier life had still to write, that it was leaving, was done after the entry of the new one,
   * and a server that served well got no work.
   */
  @Test
  void whatAnEarlierLifeWroteChangesNothingBack() {
    discovered.listed(List.of(listedWithStart("a", 5, false, 2_000)), List.of(), 0);

    assertThat(discovered.changed(listedWithStart("a", 6, true, 1_000), 1)).isFalse();
    assertThat(discovered.listed(List.of(listedWithStart("a", 6, true, 1_000)), List.of(), 2))
        .isFalse();

    assertThat(discovered.upstreams().get(0).drained()).isFalse();
    assertThat(discovered.changed(listedWithStart("a", 7, false, 3_000), 3)).isTrue();
  }

  /** An entry that was good was overwritten by something that is no entry. */
  @Test
  void anEntryThatCannotBeUsedAnyMoreNamesNoUpstream() {
    discovered.listed(List.of(listed("a", 1, false), listed("b", 1, false)), List.of(), 0);
    discovered.readFailed();

    assertThat(
            discovered.listed(
                List.of(listed("b", 1, false)), List.of(name("a")), RECOVERED_AT_MILLIS))
        .isTrue();
    assertThat(discovered.unusable(name("b"), RECOVERED_AT_MILLIS + 1)).isTrue();

    assertThat(names()).isEmpty();
    discovered.changed(listed("a", 9, false), RECOVERED_AT_MILLIS + 2);
    assertThat(names()).containsExactly("a");
  }

  /** Something that is no server wrote an entry beside those of servers, all of which say more. */
  @Test
  void whereMostSayWhenTheyStartedOneThatDoesNotIsNoUpstream() {
    discovered.listed(
        List.of(
            listedWithStart("a", 1, false, 1_000),
            listedWithStart("b", 2, false, 1_000),
            listed("c", 3, false)),
        List.of(),
        0);

    assertThat(names()).containsExactlyInAnyOrder("a", "b");
  }

  /** Engines say when they started and plain servers do not; both serve. */
  @Test
  void serversOfOneServiceNeedNotSayWhatThoseOfAnotherDo() {
    discovered.listed(
        List.of(
            listedWithStart("a", 1, false, 1_000),
            listedWithStart("b", 2, false, 1_000),
            listed("c", "another", 3, false)),
        List.of(),
        0);

    assertThat(names()).containsExactlyInAnyOrder("a", "b", "c");
  }

  private static UpstreamName name(String value) {
    return new UpstreamName(value);
  }

  private static ListedUpstream listedWithStart(
      String name, long revision, boolean drained, long startedAtMillis) {
    return new ListedUpstream(
        listed(name, revision, drained).definition().startedAt(startedAtMillis),
        new StoreRevision(1, revision));
  }

  /**
   * The store came back from a copy, and a server wrote there that it leaves: at a lower revision
   * than it had before, which was taken for old news.
   */
  @Test
  void aLowerRevisionOfALaterEpochIsNewer() {
    discovered.listed(List.of(listed("a", 900, false)), List.of(), 0);

    assertThat(discovered.listed(List.of(inEpoch(2, listed("a", 400, true))), List.of(), 10))
        .isTrue();
    assertThat(discovered.upstreams()).singleElement().matches(UpstreamDefinition::drained);
    assertThat(discovered.changed(listed("a", 901, false), 20)).isFalse();
  }

  /** The copy was made before a server said that it leaves, and shows it as it was then. */
  @Test
  void aServerThatLeavesDoesNotComeBackWithACopy() {
    discovered.listed(List.of(listed("a", 900, true)), List.of(), 0);

    discovered.listed(List.of(inEpoch(2, listed("a", 400, false))), List.of(), 10);

    assertThat(discovered.upstreams()).singleElement().matches(UpstreamDefinition::drained);
  }

  private static ListedUpstream inEpoch(long epoch, ListedUpstream one) {
    return new ListedUpstream(one.definition(), new StoreRevision(epoch, one.revision().number()));
  }

  private List<String> names() {
    return discovered.upstreams().stream().map(one -> one.name().value()).toList();
  }

  private static ListedUpstream listed(String name, long revision, boolean drained) {
    return listed(name, "service", revision, drained);
  }

  private static ListedUpstream listed(
      String name, String service, long revision, boolean drained) {
    return new ListedUpstream(
        new UpstreamDefinition(
            new UpstreamName(name),
            service,
            UpstreamRole.PLAIN,
            "10.0.0.1",
            80,
            "zone",
            "region",
            4,
            true,
            drained),
        new StoreRevision(1, revision));
  }
}
