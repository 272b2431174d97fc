package org.marjoramsail.core.discovery;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.marjoramsail.core.configuration.UpstreamDefinition;
import org.marjoramsail.core.model.SoftwareVersion;
import org.marjoramsail.core.model.UpstreamName;
import org.marjoramsail.core.model.UpstreamRole;

class DiscoveredUpstreamsTest {

  private static final long RECOVERED_AT_MILLIS = 10_000;

  private static final long RECOVERY_MILLIS = 3_000;
  private static final long RENEWAL_MILLIS = 1_200;
  private static final RetentionBounds BOUNDS =
      new RetentionBounds(RECOVERY_MILLIS, RENEWAL_MILLIS);

  /** Upstreams register within two seconds, and changes are gathered for a third of a second. */
  private static final long REGISTERED_MILLIS = 2_000 + 349;

  /** Time of the last call without a response before the list recovered. */
  private static final long FAILED_AT_MILLIS = RECOVERED_AT_MILLIS - 250;

  private final DiscoveredUpstreams discovered = new DiscoveredUpstreams(BOUNDS);

  @Test
  void isNotKnownBeforeTheFirstList() {
    assertThat(discovered.isKnown()).isFalse();
    discovered.listed(List.of(), List.of(), 0);
    assertThat(discovered.isKnown()).isTrue();
  }

  /**
   * Guards against the refusal of all requests after an outage in which entries of running
   * upstreams expired.
   */
  @Test
  void entriesThatExpiredInAnOutageAreKeptUntilTheirUpstreamsCouldRegisterAgain() {
    discovered.listed(List.of(listed("a", 1, false), listed("b", 2, false)), List.of(), 0);
    discovered.readFailed(FAILED_AT_MILLIS);

    assertThat(discovered.listed(List.of(), List.of(), RECOVERED_AT_MILLIS)).isFalse();
    assertThat(names()).containsExactlyInAnyOrder("a", "b");

    assertThat(discovered.tick(RECOVERED_AT_MILLIS + REGISTERED_MILLIS)).isFalse();
    discovered.changed(listed("a", 9, false), RECOVERED_AT_MILLIS + REGISTERED_MILLIS);
    assertThat(discovered.tick(RECOVERED_AT_MILLIS + RetentionBounds.REAPPEARANCE_MILLIS)).isTrue();
    assertThat(names()).containsExactly("a");
  }

  /**
   * Guards against a daemon that is ready without upstreams, from another that has read no list.
   */
  @Test
  void anEmptyListOfAnotherDaemonIsNoList() {
    assertThat(discovered.listedByPeer(List.of())).isFalse();
    assertThat(discovered.isKnown()).isFalse();

    assertThat(discovered.listedByPeer(List.of(listed("a", 1, false)))).isTrue();
    assertThat(discovered.isKnown()).isTrue();
  }

  /** Guards against work for an upstream that was removed while the list could be read. */
  @Test
  void anEntryThatIsRemovedWhileTheListIsReadableIsRemovedAtOnce() {
    discovered.listed(List.of(listed("a", 1, false)), List.of(), 0);
    assertThat(discovered.removed(new UpstreamName("a"), RECOVERED_AT_MILLIS)).isTrue();
    assertThat(names()).isEmpty();
  }

  /** Guards against work for an upstream that left while a watch was cut for a moment. */
  @Test
  void anEntryThatIsMissingAfterAShortInterruptionIsRemovedAtOnce() {
    discovered.listed(List.of(listed("a", 1, false)), List.of(), 0);
    discovered.readInterrupted(0, RECOVERED_AT_MILLIS - 200);

    assertThat(discovered.listed(List.of(), List.of(), RECOVERED_AT_MILLIS)).isTrue();
    assertThat(names()).isEmpty();
  }

  /** Guards against the refusal of all requests after an outage that began with a closed watch. */
  @Test
  void anEntryThatIsMissingAfterALongInterruptionIsKept() {
    discovered.listed(List.of(listed("a", 1, false)), List.of(), 0);
    discovered.readInterrupted(0, RECOVERED_AT_MILLIS - BOUNDS.shortestExpiryMillis());

    assertThat(discovered.listed(List.of(), List.of(), RECOVERED_AT_MILLIS)).isFalse();
    assertThat(names()).containsExactly("a");
  }

  /** Guards against the same refusal where an interruption turns into silence. */
  @Test
  void anEntryThatIsMissingAfterSilenceIsKept() {
    discovered.listed(List.of(listed("a", 1, false)), List.of(), 0);
    discovered.readInterrupted(0, RECOVERED_AT_MILLIS - BOUNDS.shortestExpiryMillis());
    discovered.readFailed(FAILED_AT_MILLIS);

    assertThat(discovered.listed(List.of(), List.of(), RECOVERED_AT_MILLIS)).isFalse();
    assertThat(names()).containsExactly("a");
  }

  /**
   * Guards against requests to an upstream that left while only the path to the list was silent,
   * for a time in which no entry can expire.
   */
  @Test
  void anEntryThatIsMissingAfterAShortSilenceIsRemovedAtOnce() {
    discovered.listed(List.of(listed("a", 1, false)), List.of(), 0);
    discovered.received(RECOVERED_AT_MILLIS - 1_850);
    discovered.readFailed(RECOVERED_AT_MILLIS - 1_850);

    assertThat(discovered.listed(List.of(), List.of(), RECOVERED_AT_MILLIS)).isTrue();
    assertThat(names()).isEmpty();
  }

  /**
   * Guards against requests to an upstream that left in an outage whose end is noticed late, as on
   * a connection that has died.
   */
  @Test
  void anEntryThatIsMissingAfterAnOutageIsNotKeptForLongerThanDaemonsMayBeOutdated() {
    discovered.listed(List.of(listed("a", 1, false)), List.of(), 0);
    discovered.readFailed(RECOVERED_AT_MILLIS - 1_500);

    discovered.listed(List.of(), List.of(), RECOVERED_AT_MILLIS);

    RetainedUpstream retained = discovered.retained().get(name("a"));
    assertThat(retained.outageEndedAtMillis()).isEqualTo(RECOVERED_AT_MILLIS - 1_500);
    discovered.received(RECOVERED_AT_MILLIS + 100);
    assertThat(discovered.retained()).containsExactly(Map.entry(name("a"), retained));
    long longestMillis = RECOVERED_AT_MILLIS - 1_500 + RECOVERY_MILLIS;
    assertThat(retained.untilMillis()).isLessThan(longestMillis);
    assertThat(discovered.tick(longestMillis - 200)).isTrue();
    assertThat(names()).isEmpty();
  }

  /**
   * Guards against the refusal of all requests after an outage whose end is known before the list
   * is read.
   */
  @Test
  void anEntryIsKeptIfTheListIsReadSomeTimeAfterTheStoreResponds() {
    discovered.listed(List.of(listed("a", 1, false)), List.of(), 0);
    discovered.readFailed(FAILED_AT_MILLIS);
    discovered.available(RECOVERED_AT_MILLIS);
    discovered.readDeclined(RECOVERED_AT_MILLIS + 100);

    assertThat(discovered.listed(List.of(), List.of(), RECOVERED_AT_MILLIS + 900)).isFalse();
    assertThat(discovered.tick(RECOVERED_AT_MILLIS + REGISTERED_MILLIS)).isFalse();
    assertThat(discovered.tick(RECOVERED_AT_MILLIS + RetentionBounds.REAPPEARANCE_MILLIS)).isTrue();
  }

  /** Guards against upstreams that are removed in a second outage, in which none can register. */
  @Test
  void anEntryThatIsMissingIsKeptThroughASecondOutageAndForATimeAfterIt() {
    discovered.listed(List.of(listed("a", 1, false)), List.of(), 0);
    discovered.readFailed(FAILED_AT_MILLIS);
    discovered.listed(List.of(), List.of(), RECOVERED_AT_MILLIS);
    long secondEndMillis = RECOVERED_AT_MILLIS + 5_000;
    discovered.readFailed(RECOVERED_AT_MILLIS + 100);
    discovered.readFailed(secondEndMillis - 250);

    assertThat(discovered.tick(secondEndMillis - 100)).isFalse();
    assertThat(discovered.listed(List.of(), List.of(), secondEndMillis)).isFalse();
    assertThat(discovered.tick(secondEndMillis + REGISTERED_MILLIS)).isFalse();
    assertThat(discovered.tick(secondEndMillis + RetentionBounds.REAPPEARANCE_MILLIS)).isTrue();
  }

  /** Guards against a call from before the end of an outage that times out after it. */
  @Test
  void aCallThatFailsAfterALaterOneHasSucceededBeginsNoOutage() {
    discovered.listed(List.of(listed("a", 1, false)), List.of(), 0);
    discovered.received(RECOVERED_AT_MILLIS);
    discovered.readFailed(RECOVERED_AT_MILLIS - 900);

    assertThat(discovered.removed(name("a"), RECOVERED_AT_MILLIS + 5_000)).isTrue();
  }

  /**
   * Guards against requests to an upstream that left while the list refused calls by their rate.
   */
  @Test
  void anEntryThatIsMissingAfterCallsWereDeclinedIsRemovedAtOnce() {
    discovered.listed(List.of(listed("a", 1, false)), List.of(), 0);
    discovered.readDeclined(RECOVERED_AT_MILLIS - 2_700);
    discovered.readDeclined(RECOVERED_AT_MILLIS - 300);

    assertThat(discovered.listed(List.of(), List.of(), RECOVERED_AT_MILLIS)).isTrue();
  }

  /** Guards against upstreams that are dropped since a restored backup does not list them yet. */
  @Test
  void anEntryThatIsMissingInARestoredListIsKept() {
    discovered.listed(List.of(listed("a", 1, false)), List.of(), 0);
    discovered.received(RECOVERED_AT_MILLIS);
    discovered.restored(RECOVERED_AT_MILLIS + 10);

    assertThat(discovered.listed(List.of(), List.of(), RECOVERED_AT_MILLIS + 10)).isFalse();
    assertThat(discovered.tick(RECOVERED_AT_MILLIS + 10 + REGISTERED_MILLIS)).isFalse();
    assertThat(discovered.tick(RECOVERED_AT_MILLIS + 10 + RetentionBounds.REAPPEARANCE_MILLIS))
        .isTrue();
  }

  /** An upstream that is draining does not register again. */
  @Test
  void aDrainedEntryThatIsMissingAfterAnOutageIsRemoved() {
    discovered.listed(List.of(listed("a", 1, true)), List.of(), 0);
    discovered.readFailed(FAILED_AT_MILLIS);
    discovered.listed(List.of(), List.of(), RECOVERED_AT_MILLIS);
    assertThat(names()).isEmpty();
  }

  /** Guards against a delayed change that arrives after a newer one. */
  @Test
  void anOlderEntryChangesNothing() {
    discovered.listed(List.of(listed("a", 5, true)), List.of(), 0);
    assertThat(discovered.changed(listed("a", 4, false), 1)).isFalse();
    assertThat(discovered.upstreams().get(0).drained()).isTrue();
  }

  /**
   * Guards against a late write of an earlier incarnation that marks the restarted upstream as
   * drained.
   */
  @Test
  void aLateEntryOfAnEarlierIncarnationChangesNothing() {
    discovered.listed(List.of(listedWithStart("a", 5, false, 2_000)), List.of(), 0);

    assertThat(discovered.changed(listedWithStart("a", 6, true, 1_000), 1)).isFalse();
    assertThat(discovered.listed(List.of(listedWithStart("a", 6, true, 1_000)), List.of(), 2))
        .isFalse();

    assertThat(discovered.upstreams().get(0).drained()).isFalse();
    assertThat(discovered.changed(listedWithStart("a", 7, false, 3_000), 3)).isTrue();
  }

  /** Guards against a clock that was ahead, whose restart is never seen to drain. */
  @Test
  void aRestartWithAnEarlierStartIsListedAndDrains() {
    discovered.listed(List.of(listedWithStart("a", 5, false, 2_000)), List.of(), 0);

    assertThat(discovered.changed(listedWithStart("a", 6, false, 1_000), 1)).isTrue();
    assertThat(discovered.changed(listedWithStart("a", 7, true, 1_000), 2)).isTrue();

    assertThat(start()).isEqualTo(1_000);
    assertThat(discovered.upstreams().get(0).drained()).isTrue();
  }

  /** Guards against a late write of an incarnation that was listed and then replaced. */
  @Test
  void aLateEntryOfAReplacedIncarnationChangesNothing() {
    discovered.listed(List.of(listedWithStart("a", 4, false, 1_000)), List.of(), 0);
    discovered.changed(listedWithStart("a", 5, false, 2_000), 1);

    assertThat(discovered.changed(listedWithStart("a", 6, true, 1_000), 2)).isFalse();
    assertThat(discovered.changed(listedWithStart("a", 7, false, 1_000), 3)).isFalse();

    assertThat(start()).isEqualTo(2_000);
    assertThat(discovered.upstreams().get(0).drained()).isFalse();
  }

  /** Guards against a late write that serves again what drains, where a clock was ahead. */
  @Test
  void aDrainingRestartWithAnEarlierStartStaysDrainedAfterALateEntry() {
    discovered.listed(List.of(listedWithStart("a", 5, false, 2_000)), List.of(), 0);
    discovered.changed(listedWithStart("a", 6, false, 1_000), 1);
    discovered.changed(listedWithStart("a", 7, true, 1_000), 2);

    assertThat(discovered.changed(listedWithStart("a", 8, false, 2_000), 3)).isFalse();

    assertThat(discovered.upstreams().get(0).drained()).isTrue();
  }

  /**
   * Guards against an upstream whose entries are ignored for good after a late entry of an
   * incarnation that this daemon has not seen.
   */
  @Test
  void anUpstreamIsSeenToDrainAfterALateEntryOfAnUnknownIncarnation() {
    discovered.listed(List.of(listedWithStart("a", 5, false, 2_000)), List.of(), 0);
    discovered.changed(listedWithStart("a", 6, false, 1_000), 1);

    assertThat(discovered.changed(listedWithStart("a", 7, false, 2_000), 2)).isTrue();
    assertThat(discovered.changed(listedWithStart("a", 8, true, 2_000), 3)).isTrue();

    assertThat(start()).isEqualTo(2_000);
    assertThat(discovered.upstreams().get(0).drained()).isTrue();
  }

  /** Guards against an incarnation that is not seen to drain since a late entry replaced it. */
  @Test
  void anUpstreamThatDrainsDirectlyAfterALateEntryIsSeenToDrain() {
    discovered.listed(List.of(listedWithStart("a", 5, false, 2_000)), List.of(), 0);
    discovered.changed(listedWithStart("a", 6, false, 1_000), 1);

    assertThat(discovered.changed(listedWithStart("a", 7, true, 2_000), 2)).isTrue();

    assertThat(discovered.upstreams().get(0).drained()).isTrue();
  }

  /** Guards against a restart that is ignored once several starts have been listed. */
  @Test
  void aLaterStartReplacesAllThatWereListedBefore() {
    discovered.listed(List.of(listedWithStart("a", 5, false, 2_000)), List.of(), 0);
    discovered.changed(listedWithStart("a", 6, false, 1_000), 1);
    discovered.changed(listedWithStart("a", 7, false, 1_500), 2);

    assertThat(discovered.changed(listedWithStart("a", 8, false, 2_000), 3)).isFalse();
    assertThat(discovered.changed(listedWithStart("a", 9, true, 1_000), 4)).isFalse();

    assertThat(start()).isEqualTo(1_500);
    assertThat(discovered.upstreams().get(0).drained()).isFalse();
  }

  private long start() {
    return discovered.upstreams().get(0).incarnation().startedAtMillis();
  }

  /** Guards against an upstream that is kept after its entry was overwritten by an invalid one. */
  @Test
  void anEntryThatBecomesInvalidRemovesItsUpstream() {
    discovered.listed(List.of(listed("a", 1, false), listed("b", 1, false)), List.of(), 0);
    discovered.readFailed(FAILED_AT_MILLIS);

    assertThat(
            discovered.listed(
                List.of(listed("b", 1, false)), List.of(name("a")), RECOVERED_AT_MILLIS))
        .isTrue();
    assertThat(discovered.unusable(name("b"), RECOVERED_AT_MILLIS + 1)).isTrue();

    assertThat(names()).isEmpty();
    discovered.changed(listed("a", 9, false), RECOVERED_AT_MILLIS + 2);
    assertThat(names()).containsExactly("a");
  }

  /** Guards against an entry that was not written by an upstream. */
  @Test
  void anEntryWithoutAStartTimeIsIgnoredWhereMostOfItsServiceHaveOne() {
    discovered.listed(
        List.of(
            listedWithStart("a", 1, false, 1_000),
            listedWithStart("b", 2, false, 1_000),
            listed("c", 3, false)),
        List.of(),
        0);

    assertThat(names()).containsExactlyInAnyOrder("a", "b");
  }

  /** Entries with and without a start time are compared within one service only. */
  @Test
  void servicesWithAndWithoutStartTimesAreKept() {
    discovered.listed(
        List.of(
            listedWithStart("a", 1, false, 1_000),
            listedWithStart("b", 2, false, 1_000),
            listed("c", "another", 3, false)),
        List.of(),
        0);

    assertThat(names()).containsExactlyInAnyOrder("a", "b", "c");
  }

  @Test
  void aVersionIsTheOnlyOneOnceNoOtherWasListedSinceAGivenTime() {
    discovered.listed(List.of(ofVersion("a", 1, "v1"), ofVersion("b", 2, "v2")), List.of(), 0);
    discovered.removed(name("b"), RECOVERED_AT_MILLIS);

    assertThat(discovered.onlyVersionSince("service", RECOVERED_AT_MILLIS)).isEmpty();
    assertThat(discovered.onlyVersionSince("service", RECOVERED_AT_MILLIS + 1))
        .contains(new SoftwareVersion("v1"));
  }

  /** Guards against a version that began streams and whose upstream was back with another one. */
  @Test
  void aVersionThatWasReplacedUnderTheSameNameCountsUntilItsReplacement() {
    discovered.listed(List.of(ofVersion("a", 1, "v1")), List.of(), 0);
    discovered.changed(ofVersion("a", 2, "v2"), 1_000);

    assertThat(discovered.onlyVersionSince("service", 1_000)).isEmpty();
    assertThat(discovered.onlyVersionSince("service", 1_001)).contains(new SoftwareVersion("v2"));
  }

  /** Guards against a version that was listed while this daemon could not read the list. */
  @Test
  void noVersionIsTheOnlyOneIfChangesOfTheListMayHaveBeenMissed() {
    discovered.listed(List.of(ofVersion("a", 1, "v1")), List.of(), 0);
    assertThat(discovered.onlyVersionSince("service", 0)).isPresent();

    discovered.readFailed(FAILED_AT_MILLIS);
    assertThat(discovered.onlyVersionSince("service", 0)).isEmpty();

    discovered.listed(List.of(ofVersion("a", 1, "v1")), List.of(), RECOVERED_AT_MILLIS);
    assertThat(discovered.onlyVersionSince("service", RECOVERED_AT_MILLIS - 1)).isEmpty();
    assertThat(discovered.onlyVersionSince("service", RECOVERED_AT_MILLIS)).isPresent();
  }

  private static ListedUpstream ofVersion(String name, long revision, String version) {
    ListedUpstream listed = listed(name, revision, false);
    return new ListedUpstream(
        listed.definition().withSoftwareVersion(new SoftwareVersion(version)), listed.revision());
  }

  private static UpstreamName name(String value) {
    return new UpstreamName(value);
  }

  private static ListedUpstream listedWithStart(
      String name, long revision, boolean drained, long startedAtMillis) {
    return new ListedUpstream(
        listed(name, revision, drained).definition().withStartTime(startedAtMillis),
        new StoreRevision(1, revision));
  }

  /**
   * Guards against a change that is ignored since the restored store assigned it a lower revision.
   */
  @Test
  void aLowerRevisionOfALaterEpochIsNewer() {
    discovered.listed(List.of(listed("a", 900, false)), List.of(), 0);

    assertThat(discovered.listed(List.of(inEpoch(2, listed("a", 400, true))), List.of(), 10))
        .isTrue();
    assertThat(discovered.upstreams()).singleElement().matches(UpstreamDefinition::drained);
    assertThat(discovered.changed(listed("a", 901, false), 20)).isFalse();
  }

  /** Guards against a restored backup that shows an upstream as it was before it drained. */
  @Test
  void aDrainedUpstreamStaysDrainedAfterARestore() {
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
