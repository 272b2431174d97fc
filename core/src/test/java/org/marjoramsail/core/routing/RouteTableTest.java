package org.marjoramsail.core.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.marjoramsail.core.model.Repeatability;

class RouteTableTest {

  private final RouteTable table =
      new RouteTable(
          List.of(
              route("wide", "desk.example", "/a/", 1, 0),
              route("narrow", "desk.example", "/a/b/", 9, 1),
              route("other", "other.example", "/a/", 1, 0)));

  @Test
  void theLongestPrefixOfTheHostIsTaken() {
    assertThat(table.find("desk.example", "/a/b/c").orElseThrow().name()).isEqualTo("narrow");
    assertThat(table.find("desk.example", "/a/bc").orElseThrow().name()).isEqualTo("wide");
  }

  @Test
  void hostsDifferWhileTheirCaseAndPortDoNotMatter() {
    assertThat(table.find("OTHER.example:8080", "/a/b/").orElseThrow().name()).isEqualTo("other");
  }

  @Test
  void aPathWithoutAPrefixHasNoRoute() {
    assertThat(table.find("desk.example", "/ab")).isEmpty();
    assertThat(table.find("nobody.example", "/a/")).isEmpty();
  }

  @Test
  void weightsDivideTheRequestsOfARoute() {
    Route split = table.find("desk.example", "/a/b/").orElseThrow();
    int first = 0;
    for (long draw = 0; draw < 1_000; draw++) {
      first += split.serviceFor(draw).equals("first") ? 1 : 0;
    }
    assertThat(first).isEqualTo(900);
    assertThat(split.serviceFor(-1)).isEqualTo("second");
  }

  private static Route route(String name, String host, String prefix, int first, int second) {
    return new Route(
        name,
        host,
        prefix,
        Repeatability.IDEMPOTENT,
        false,
        1_000,
        100,
        0,
        0,
        1,
        List.of(new WeightedService("first", first), new WeightedService("second", second)));
  }
}
