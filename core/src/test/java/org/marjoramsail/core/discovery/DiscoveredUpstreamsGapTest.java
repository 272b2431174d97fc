package org.marjoramsail.core.discovery;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.marjoramsail.core.configuration.UpstreamDefinition;
import org.marjoramsail.core.model.SoftwareVersion;
import org.marjoramsail.core.model.UpstreamName;
import org.marjoramsail.core.model.UpstreamRole;

/** Which version was the only one, after responses that may have left out changes of the list. */
class DiscoveredUpstreamsGapTest {

  private static final String SERVICE = "service";
  private static final long EPOCH = 1;
  private static final long GAP_AT_MILLIS = 10_000;
  private static final List<ListedUpstream> OLD_ONLY = List.of(ofVersion("a", 1, "v1"));

  private final DiscoveredUpstreams discovered =
      new DiscoveredUpstreams(new RetentionBounds(3_000, 1_200));

  /** Guards against an unnoticed version that was listed for a moment between two reads. */
  @Test
  void noVersionIsTheOnlyOneSinceBeforeAGap() {
    discovered.listed(OLD_ONLY, List.of(), 0);
    gap(OLD_ONLY, 5, 8, GAP_AT_MILLIS);

    assertThat(only(GAP_AT_MILLIS - 1)).isEmpty();
    assertThat(only(GAP_AT_MILLIS)).contains("v1");
    assertThat(oldestGap()).contains(revision(5));
  }

  /** Guards against the refusal of streams for as long as other objects are written. */
  @Test
  void aGapIsClosedOnceAllItsRevisionsAreThoseOfOtherObjects() {
    discovered.listed(OLD_ONLY, List.of(), 0);
    gap(OLD_ONLY, 5, 8, GAP_AT_MILLIS);

    explain(6, 7);
    assertThat(only(0)).isEmpty();
    explain(8, 8);

    assertThat(only(0)).contains("v1");
    assertThat(oldestGap()).isEmpty();
  }

  /** Guards against a version from before a gap that is taken for one that was never listed. */
  @Test
  void aVersionFromBeforeAClosedGapCounts() {
    discovered.listed(List.of(ofVersion("a", 1, "v1"), ofVersion("b", 2, "v2")), List.of(), 0);
    discovered.removed(new UpstreamName("b"), 1_000);
    gap(OLD_ONLY, 5, 6, GAP_AT_MILLIS);
    explain(6, 6);

    assertThat(only(1_000)).isEmpty();
    assertThat(only(1_001)).contains("v1");
  }

  /** Guards against a store that gives out the same revisions again after its restoration. */
  @Test
  void revisionsOfAnotherEpochCloseNoGap() {
    discovered.listed(OLD_ONLY, List.of(), 0);
    gap(OLD_ONLY, 5, 6, GAP_AT_MILLIS);

    discovered.unchangedBy(List.of(new StoreRevision(EPOCH + 1, 6)));

    assertThat(only(0)).isEmpty();
  }

  /** Guards against a closed gap although an upstream changed within it. */
  @Test
  void aGapInWhichTheListChangedIsNeverClosed() {
    discovered.listed(OLD_ONLY, List.of(), 0);
    gap(List.of(ofVersion("a", 6, "v2")), 5, 6, GAP_AT_MILLIS);

    explain(6, 6);

    assertThat(only(GAP_AT_MILLIS - 1)).isEmpty();
    assertThat(only(GAP_AT_MILLIS)).contains("v2");
  }

  /** Guards against changes that were missed in an outage after a gap. */
  @Test
  void aListThatIsReadAfterAnOutageEndsTheHistoryForGood() {
    discovered.listed(OLD_ONLY, List.of(), 0);
    gap(OLD_ONLY, 5, 6, GAP_AT_MILLIS);
    discovered.readFailed(GAP_AT_MILLIS + 1);
    assertThat(oldestGap()).isEmpty();

    discovered.listed(OLD_ONLY, List.of(), GAP_AT_MILLIS + 2);
    explain(6, 6);

    assertThat(only(GAP_AT_MILLIS + 1)).isEmpty();
    assertThat(only(GAP_AT_MILLIS + 2)).contains("v1");
  }

  /** Guards against gaps that fill the memory, and against one that is forgotten as if closed. */
  @Test
  void theOldestOfManyGapsAreNeverClosed() {
    long gaps = 1_000;
    discovered.listed(OLD_ONLY, List.of(), 0);
    for (long gap = 1; gap <= gaps; gap++) {
      gap(OLD_ONLY, 10 * gap, 10 * gap + 2, gap);
    }
    long firstKept = oldestGap().orElseThrow().number() / 10;

    explain(1, 10 * gaps + 10);

    assertThat(firstKept).isBetween(gaps / 2, gaps);
    assertThat(only(firstKept - 2)).isEmpty();
    assertThat(only(firstKept - 1)).contains("v1");
  }

  /** Guards against a gap whose revisions fill the memory. */
  @Test
  void aGapOfManyRevisionsIsNeverClosed() {
    discovered.listed(OLD_ONLY, List.of(), 0);
    gap(OLD_ONLY, 5, 1_000_000_000, GAP_AT_MILLIS);

    assertThat(oldestGap()).isEmpty();
    assertThat(only(GAP_AT_MILLIS - 1)).isEmpty();
    assertThat(only(GAP_AT_MILLIS)).contains("v1");
  }

  /** Guards against gaps that are asked for again and again though the store has forgotten them. */
  @Test
  void theOlderGapsAreNeverClosedOnceTheStoreHasForgottenThem() {
    discovered.listed(OLD_ONLY, List.of(), 0);
    gap(OLD_ONLY, 5, 6, 1_000);
    gap(OLD_ONLY, 7, 8, 2_000);

    discovered.gapHistoryGone();

    assertThat(oldestGap()).contains(revision(7));
    explain(6, 8);
    assertThat(only(999)).isEmpty();
    assertThat(only(1_000)).contains("v1");
  }

  /** Guards against versions that fill the memory, and against one that is forgotten unnoticed. */
  @Test
  void aHistoryOfManyVersionsBeginsAnew() {
    discovered.listed(OLD_ONLY, List.of(), 0);
    for (int version = 2; version < 2_000; version++) {
      discovered.changed(ofVersion("b", version, "v" + version), version);
    }
    discovered.removed(new UpstreamName("b"), 3_000);
    gap(OLD_ONLY, 2_000, 2_001, GAP_AT_MILLIS);
    explain(2_001, 2_001);

    assertThat(only(GAP_AT_MILLIS - 1)).isEmpty();
    assertThat(only(GAP_AT_MILLIS)).contains("v1");
  }

  /** Guards against reads of the store that grow with the time since a gap that stays open. */
  @Test
  void aGapIsDroppedOnceTheChangesInItNoLongerMatter() {
    discovered.listed(OLD_ONLY, List.of(), 0);
    gap(OLD_ONLY, 5, 6, GAP_AT_MILLIS);
    gap(OLD_ONLY, 8, 9, GAP_AT_MILLIS + 1);

    assertThat(discovered.oldestGap(GAP_AT_MILLIS - 1, GAP_AT_MILLIS)).contains(revision(5));
    assertThat(discovered.oldestGap(GAP_AT_MILLIS, GAP_AT_MILLIS)).contains(revision(8));
    explain(6, 9);
    assertThat(only(GAP_AT_MILLIS - 1)).isEmpty();
    assertThat(only(GAP_AT_MILLIS)).contains("v1");
  }

  /** Guards against reads of the store that tell no version, as by all daemons after a start. */
  @Test
  void thereIsNoGapToCloseWhileTheHistoryIsTooShort() {
    discovered.listed(OLD_ONLY, List.of(), GAP_AT_MILLIS);
    gap(OLD_ONLY, 5, 6, GAP_AT_MILLIS + 1);

    assertThat(discovered.oldestGap(0, GAP_AT_MILLIS - 1)).isEmpty();
    assertThat(discovered.oldestGap(0, GAP_AT_MILLIS)).contains(revision(5));
  }

  @Test
  void thereIsNoGapBetweenStatesOfTwoEpochs() {
    assertThat(RevisionGap.between(revision(5), new StoreRevision(EPOCH + 1, 8))).isEmpty();
    assertThat(RevisionGap.between(revision(5), revision(5))).isEmpty();
    assertThat(RevisionGap.between(revision(5), revision(8)))
        .contains(new RevisionGap(revision(5), revision(8)));
  }

  private void gap(List<ListedUpstream> whole, long after, long upTo, long nowMillis) {
    discovered.listedAfterGap(
        whole, List.of(), new RevisionGap(revision(after), revision(upTo)), nowMillis);
  }

  private Optional<StoreRevision> oldestGap() {
    return discovered.oldestGap(0, Long.MAX_VALUE);
  }

  private void explain(long first, long last) {
    discovered.unchangedBy(
        LongStream.rangeClosed(first, last)
            .mapToObj(DiscoveredUpstreamsGapTest::revision)
            .toList());
  }

  private Optional<String> only(long sinceMillis) {
    return discovered.onlyVersionSince(SERVICE, sinceMillis).map(SoftwareVersion::value);
  }

  private static StoreRevision revision(long number) {
    return new StoreRevision(EPOCH, number);
  }

  private static ListedUpstream ofVersion(String name, long revision, String version) {
    return new ListedUpstream(
        new UpstreamDefinition(
                new UpstreamName(name),
                SERVICE,
                UpstreamRole.DECODE,
                "10.0.0.1",
                80,
                "zone",
                "region",
                4,
                true,
                false)
            .withSoftwareVersion(new SoftwareVersion(version)),
        revision(revision));
  }
}
