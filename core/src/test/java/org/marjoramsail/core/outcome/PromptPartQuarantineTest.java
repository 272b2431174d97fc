package org.marjoramsail.core.outcome;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.marjoramsail.core.model.DaemonId;
import org.marjoramsail.core.model.RequestId;
import org.marjoramsail.core.model.SoftwareVersion;
import org.marjoramsail.core.model.UpstreamName;

final class PromptPartQuarantineTest {

  private static final long LIFETIME_MILLIS = 1_000;
  private static final DaemonId OTHER_DAEMON = new DaemonId("other", 1);
  private static final SharedPromptPart OPENING = part("opening");
  private static final SharedPromptPart DEADLY = part("deadly");
  private static final SharedPromptPart COMPANION = part("companion");
  private static final SharedPromptPart RARE = part("rare");

  private final Quarantine quarantine = quarantine();
  private final Quarantine other = quarantine();
  private int count;

  private static SharedPromptPart part(String id) {
    return SharedPromptPart.of("assistant", "council", id);
  }

  /** Returns a quarantine for upstreams whose names end with their version. */
  private static Quarantine quarantine() {
    return new Quarantine(
        "host",
        LIFETIME_MILLIS,
        100,
        100,
        QuarantineListener.NONE,
        upstream -> Optional.of(upstream.value().replaceAll(".*-", "")).map(SoftwareVersion::new));
  }

  /** Guards against requests that are no two alike and crash server after server. */
  @Test
  void aPartThatWasInTwoContentsOnTwoCrashedUpstreamsIsRefused() {
    crash(quarantine, 1, DEADLY);
    assertThat(isRefused(quarantine, DEADLY)).isFalse();
    crash(quarantine, 2, DEADLY);

    assertThat(isRefused(quarantine, DEADLY)).isTrue();
    assertThat(isRefused(quarantine, OPENING)).isFalse();
  }

  /** Guards against the refusal of a part because of one request that is deadly by itself. */
  @Test
  void aPartThatWasInOneContentAloneIsNotRefused() {
    crash(quarantine, 1, DEADLY);
    crash(quarantine, 1, DEADLY);

    assertThat(isRefused(quarantine, DEADLY)).isFalse();
  }

  @Test
  void aPartThatHasGivenOutputIsNeverASuspect() {
    giveOutput(quarantine, "v1", OPENING);
    crash(quarantine, 1, OPENING);
    crash(quarantine, 2, OPENING);

    assertThat(quarantine.parts(5)).isEmpty();
  }

  @Test
  void outputOnAnotherSoftwareVersionDoesNotClearAPart() {
    giveOutput(quarantine, "v2", DEADLY);
    crash(quarantine, 1, DEADLY);
    crash(quarantine, 2, DEADLY);

    assertThat(isRefused(quarantine, DEADLY)).isTrue();
  }

  @Test
  void aRequestThatHadGivenOutputBeforeTheCrashIsInnocent() {
    for (int content = 1; content <= 2; content++) {
      UpstreamName upstream = upstream(quarantine, "v1");
      RequestId innocent = start(quarantine, upstream, 10 + content, RARE);
      quarantine.outputReceived(upstream, innocent, 1, 5);
      start(quarantine, upstream, content, DEADLY);
      quarantine.incarnation(upstream, 2, 5, 5);
    }

    assertThat(quarantine.parts(5)).extracting(PartEntry::id).containsExactly("deadly");
  }

  /** Guards against a sound part that is refused because it always came with the deadly one. */
  @Test
  void ofPartsThatAlwaysCameTogetherOnlyRequestsWithAllAreRefused() {
    crash(quarantine, 1, DEADLY, COMPANION);
    crash(quarantine, 2, DEADLY, COMPANION);

    assertThat(isRefused(quarantine, DEADLY, COMPANION)).isTrue();
    assertThat(isRefused(quarantine, COMPANION)).isFalse();
    assertThat(isRefused(quarantine, DEADLY)).isFalse();

    giveOutput(quarantine, "v1", COMPANION);
    assertThat(isRefused(quarantine, DEADLY)).isTrue();
  }

  @Test
  void aThirdCrashWithOneOfThemTellsWhichPartItWas() {
    crash(quarantine, 1, DEADLY, COMPANION);
    crash(quarantine, 2, DEADLY, COMPANION);
    crash(quarantine, 3, DEADLY);

    assertThat(isRefused(quarantine, DEADLY)).isTrue();
    assertThat(isRefused(quarantine, COMPANION)).isFalse();
  }

  /** Guards against a rare sound part that was on servers which another part crashed. */
  @Test
  void aPartWhoseCrashesAreExplainedByAnotherIsNotRefused() {
    crash(quarantine, 1, DEADLY);
    crash(quarantine, 2, DEADLY, RARE);
    crash(quarantine, 3, DEADLY, RARE);

    assertThat(isRefused(quarantine, DEADLY)).isTrue();
    assertThat(isRefused(quarantine, RARE)).isFalse();
  }

  @Test
  void twoDeadlyPartsAreBothRefused() {
    for (int content = 1; content <= 3; content++) {
      crash(quarantine, content, DEADLY);
      crash(quarantine, 10 + content, RARE);
    }

    assertThat(isRefused(quarantine, DEADLY)).isTrue();
    assertThat(isRefused(quarantine, RARE)).isTrue();
  }

  /** Guards against hosts that each see one crash only. */
  @Test
  void crashesOnDifferentHostsAddUpByReports() {
    crash(quarantine, 1, DEADLY);
    crash(other, 2, DEADLY);
    exchange();

    assertThat(isRefused(quarantine, DEADLY)).isTrue();
    assertThat(isRefused(other, DEADLY)).isTrue();
  }

  @Test
  void aHostThatReceivesAReportRepliesWithThePartsThatGaveOutputThere() {
    giveOutput(other, "v1", OPENING);
    crash(quarantine, 1, OPENING, DEADLY);
    exchange();

    assertThat(quarantine.parts(5)).extracting(PartEntry::id).containsExactly("deadly");
    assertThat(other.parts(5)).extracting(PartEntry::id).containsExactly("deadly");
  }

  @Test
  void outputOnOneHostClearsASuspectOnAllOthers() {
    crash(quarantine, 1, RARE);
    exchange();
    giveOutput(other, "v1", RARE);
    exchange();

    assertThat(quarantine.parts(5)).isEmpty();
    assertThat(quarantine.takePartMessages()).isEmpty();
    assertThat(other.takePartMessages()).isEmpty();
  }

  @Test
  void anOperatorLiftsAPartOnAllHostsAndLaterCrashesStillCount() {
    crash(quarantine, 1, DEADLY);
    crash(quarantine, 2, DEADLY);
    exchange();
    assertThat(quarantine.parts(5))
        .containsExactly(
            new PartEntry(DEADLY.fingerprint(), "deadly", Suspicion.QUARANTINED, 2, 1_000));

    assertThat(other.liftPart(DEADLY.fingerprint(), 5)).isTrue();
    assertThat(other.liftPart(DEADLY.fingerprint(), 5)).isFalse();
    exchange();
    assertThat(isRefused(quarantine, DEADLY)).isFalse();

    crash(quarantine, 3, DEADLY);
    crash(quarantine, 4, DEADLY);
    assertThat(isRefused(quarantine, DEADLY)).isTrue();
  }

  @Test
  void aRefusalExpires() {
    crash(quarantine, 1, DEADLY);
    crash(quarantine, 2, DEADLY);

    assertThat(quarantine.refusingParts(List.of(DEADLY), 4 + LIFETIME_MILLIS)).isNotEmpty();
    assertThat(quarantine.refusingParts(List.of(DEADLY), 5 + LIFETIME_MILLIS)).isEmpty();
    assertThat(quarantine.partReports(5 + LIFETIME_MILLIS)).isEmpty();
  }

  @Test
  void onlyRequestsWithTheSameSuspectedPartWaitForEachOther() {
    crash(quarantine, 1, DEADLY);
    start(quarantine, upstream(quarantine, "v1"), 2, DEADLY);

    assertThat(quarantine.isPartOnTrial(List.of(DEADLY), 5)).isTrue();
    assertThat(quarantine.isPartOnTrial(List.of(RARE), 5)).isFalse();
  }

  /** Guards against unbounded memory when a request names hundreds of parts. */
  @Test
  void theSuspectsOfACrashAreLimited() {
    SharedPromptPart[] parts = new SharedPromptPart[1_000];
    Arrays.setAll(parts, number -> part("part-" + number));
    crash(quarantine, 1, parts);

    assertThat(quarantine.parts(5)).hasSizeLessThan(parts.length);
  }

  private void exchange() {
    deliver(quarantine, other);
    deliver(other, quarantine);
    deliver(quarantine, other);
  }

  private void deliver(Quarantine from, Quarantine to) {
    for (var message : from.takePartMessages()) {
      if (message instanceof PartCrashMessage crash) {
        to.handle(OTHER_DAEMON, crash, 5)
            .ifPresent(reply -> from.handle(OTHER_DAEMON, (PartClearanceMessage) reply, 5));
      } else {
        to.handle(OTHER_DAEMON, (PartClearanceMessage) message, 5);
      }
    }
  }

  private boolean isRefused(Quarantine by, SharedPromptPart... parts) {
    return !by.refusingParts(List.of(parts), 5).isEmpty();
  }

  private void giveOutput(Quarantine at, String version, SharedPromptPart... parts) {
    UpstreamName upstream = upstream(at, version);
    at.outputReceived(upstream, start(at, upstream, 99, parts), 1, 5);
  }

  private void crash(Quarantine at, long content, SharedPromptPart... parts) {
    UpstreamName upstream = upstream(at, "v1");
    start(at, upstream, content, parts);
    at.incarnation(upstream, 2, 5, 5);
  }

  private UpstreamName upstream(Quarantine at, String version) {
    count++;
    UpstreamName name = new UpstreamName("decode" + count + "-" + version);
    at.incarnation(name, 1, 0, 0);
    return name;
  }

  private RequestId start(
      Quarantine at, UpstreamName upstream, long content, SharedPromptPart... parts) {
    count++;
    RequestId request = new RequestId("q" + count);
    at.started(upstream, request, 1, content, List.of(parts));
    return request;
  }
}
