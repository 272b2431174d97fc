package org.marjoramsail.core.discovery;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.EnumSet;
import java.util.List;
import org.junit.jupiter.api.Test;

class ListingAssemblyTest {

  private static final String LARGE = "0123456789".repeat(30_000);

  private final ListingAssembly assembly = new ListingAssembly(EnumSet.allOf(ListingSection.class));

  /** Guards against a configuration that is too large for one message and so never arrives. */
  @Test
  void aLargeSectionIsPutTogetherFromPiecesInAnyOrder() {
    List<ListingPart> routes = ListingPart.split(1, ListingSection.ROUTES, LARGE);
    assertThat(routes).hasSizeGreaterThan(2);
    for (int index = routes.size() - 1; index >= 0; index--) {
      assertThat(assembly.isComplete()).isFalse();
      assertThat(assembly.add(routes.get(index))).isTrue();
    }
    assertThat(assembly.isComplete()).isFalse();
    ListingPart.split(1, ListingSection.UPSTREAMS, "").forEach(assembly::add);

    assertThat(assembly.isComplete()).isTrue();
    assertThat(assembly.packed(ListingSection.ROUTES)).hasValue(LARGE);
    assertThat(assembly.packed(ListingSection.UPSTREAMS)).hasValue("");
  }

  /** Guards against memory that grows with what another daemon states. */
  @Test
  void piecesThatDoNotFitAreRejected() {
    assertThat(assembly.add(part(0, 2))).isTrue();
    assertThat(assembly.add(part(1, 3))).isFalse();
    assertThat(assembly.add(part(2, 2))).isFalse();
    assertThat(assembly.add(part(-1, 2))).isFalse();
    assertThat(assembly.add(part(0, 1_000_000))).isFalse();
    assertThat(assembly.add(ListingPart.declined(1))).isFalse();
  }

  private static ListingPart part(int index, int count) {
    return new ListingPart(1, ListingSection.ROUTES, index, count, "x");
  }
}
