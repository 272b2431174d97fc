package org.marjoramsail.core.claim;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.marjoramsail.core.model.DaemonId;

final class ClaimLogTest {

  private static final ClaimSettings SETTINGS = ClaimFleet.SETTINGS;

  @Test
  void pagesReadWhileAnotherDaemonWroteAreReadAgain() {
    // Guards against a key that is granted twice: a daemon that reads page 0 before its last claim
    // and page 1 after it would miss that claim, and its update of page 1 would succeed.
    Map<Integer, VersionedPage> inconsistent =
        Map.of(0, page(0, false, "a"), 1, page(1, false, "c"));
    Map<Integer, VersionedPage> consistent = Map.of(0, page(0, true, "a"), 1, page(1, false, "c"));

    assertThat(ClaimLog.of(SETTINGS, inconsistent)).isEmpty();
    assertThat(ClaimLog.of(SETTINGS, consistent)).isPresent();
  }

  @Test
  void pagesWithAGapOrWithoutTheirStartAreReadAgain() {
    assertThat(ClaimLog.of(SETTINGS, Map.of(0, page(0, true, "a"), 2, page(2, true, "b"))))
        .isEmpty();
    assertThat(ClaimLog.of(SETTINGS, Map.of(0, page(4, true, "a"), 1, page(5, false, "b"))))
        .isEmpty();
  }

  @Test
  void pagesThatHaveWrappedAroundAreConsistent() {
    Map<Integer, VersionedPage> wrapped =
        Map.of(
            0, page(4, true, "e"),
            1, page(5, false, "f"),
            2, page(2, true, "c"),
            3, page(3, true, "d"));

    ClaimLog log = ClaimLog.of(SETTINGS, wrapped).orElseThrow();

    assertThat(log.openOrdinal()).isEqualTo(5);
    assertThat(log.find("c", 0)).isPresent();
  }

  private static VersionedPage page(long ordinal, boolean sealed, String key) {
    ClaimId id = new ClaimId(new DaemonId("host", 1), ordinal);
    ClaimEntry entry = new ClaimEntry(key, "body", id, ClaimState.CLAIMED, 0, "", 1_000);
    return new VersionedPage("v" + ordinal, new ClaimPage(ordinal, sealed, 0, List.of(entry)));
  }
}
