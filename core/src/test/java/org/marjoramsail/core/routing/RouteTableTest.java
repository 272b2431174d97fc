package org.marjoramsail.core.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.Size;
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
  void theLongestMatchingPrefixOfTheHostWins() {
    assertThat(table.find("desk.example", "/a/b/c").orElseThrow().name()).isEqualTo("narrow");
    assertThat(table.find("desk.example", "/a/bc").orElseThrow().name()).isEqualTo("wide");
  }

  @Test
  void hostsAreMatchedIgnoringCaseAndPort() {
    assertThat(table.find("OTHER.example:8080", "/a/b/").orElseThrow().name()).isEqualTo("other");
  }

  @Test
  void aPathThatMatchesNoPrefixHasNoRoute() {
    assertThat(table.find("desk.example", "/ab")).isEmpty();
    assertThat(table.find("nobody.example", "/a/")).isEmpty();
  }

  @Test
  void weightsDivideTheRequestsOfARoute() {
    Route split = table.find("desk.example", "/a/b/").orElseThrow();
    int first = 0;
    for (long requestHash = 0; requestHash < 1_000; requestHash++) {
      first += split.serviceFor(requestHash).equals("first") ? 1 : 0;
    }
    assertThat(first).isEqualTo(900);
    assertThat(split.serviceFor(-1)).isEqualTo("second");
  }

  @Test
  void ofTwoRoutesWithTheSamePrefixTheFirstWins() {
    RouteTable duplicated =
        new RouteTable(
            List.of(route("first", "h", "/a/", 1, 0), route("second", "h", "/a/", 1, 0)));

    assertThat(duplicated.find("h", "/a/").orElseThrow().name()).isEqualTo("first");
  }

  /** Compares the lookup by segments with a linear scan of all routes. */
  @Property(seed = "2301", tries = 2_000)
  void theLookupAgreesWithALinearScanOfAllRoutes(
      @ForAll("prefixes") @Size(max = 12) List<String> prefixes, @ForAll("paths") String path) {
    List<Route> routes = new ArrayList<>();
    for (String prefix : prefixes) {
      routes.add(route("route-" + routes.size(), "h", prefix, 1, 0));
    }

    Optional<String> scanned =
        routes.stream()
            .filter(route -> path.startsWith(route.pathPrefix()))
            .max(
                Comparator.<Route>comparingInt(route -> route.pathPrefix().length())
                    .thenComparing(routes::indexOf, Comparator.reverseOrder()))
            .map(Route::name);

    assertThat(new RouteTable(routes).find("h", path).map(Route::name)).isEqualTo(scanned);
  }

  @Provide
  Arbitrary<List<String>> prefixes() {
    return texts().list();
  }

  @Provide
  Arbitrary<String> paths() {
    return texts();
  }

  /** Generates short texts of few letters, so that prefixes often match paths. */
  private static Arbitrary<String> texts() {
    return Arbitraries.strings().withChars('/', 'a', 'b').ofMaxLength(7);
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
