package org.marjoramsail.command.capacity;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

final class CapacityModelTest {

  private static final Path DOCUMENTS = Path.of("..", "docs");
  private static final Machine MACHINE = new Machine(12, 32_000, 2_000, "17", 1.0, 2.0);

  @Test
  void theTablesOfThePageAreThoseOfTheRecordedMeasurements() throws Exception {
    // A reader trusts a number of the page that no recording gives: somebody recorded again, or
    // changed the model, and left the page as it was.
    String page = Files.readString(DOCUMENTS.resolve("CAPACITY.md"));
    List<Measurement> recorded = MeasurementFiles.read(DOCUMENTS.resolve("measurements"));

    assertThat(recorded)
        .extracting(Measurement::part)
        .containsExactlyElementsOf(Arrays.asList(CapacityPart.values()));
    assertThat(page)
        .contains("<!-- tables -->\n\n" + CapacityPage.tables(recorded) + "\n<!-- end -->");
  }

  @Test
  void aWeightOfEachFactorIsFoundAgain() {
    LeastSquares fit =
        LeastSquares.fit(
            List.of(
                observation(10, 1, 0),
                observation(10, 0, 1),
                observation(10, 5, 2),
                observation(10, 3, 7)));

    assertThat(fit.weight(0)).isCloseTo(10, within(1e-9));
    assertThat(fit.weight(1)).isCloseTo(2, within(1e-9));
    assertThat(fit.weight(2)).isCloseTo(-3, within(1e-9));
    assertThat(fit.determination()).isCloseTo(1, within(1e-9));
  }

  @Test
  void aSizeBetweenTwoMeasuredOnesLiesOnTheLineAndOneBeyondThemDoesNotGrow() {
    Measurements measured =
        new Measurements(
            List.of(
                recorded(
                    Point.of(Measure.REST_BYTES, 10, 100), Point.of(Measure.REST_BYTES, 30, 200))));

    assertThat(measured.atSize(Measure.REST_BYTES, 15)).contains(125.0);
    assertThat(measured.atSize(Measure.REST_BYTES, 5)).contains(100.0);
    assertThat(measured.atSize(Measure.REST_BYTES, 90)).contains(200.0);
    assertThat(measured.atSize(Measure.REST_CORE, 15)).isEmpty();
  }

  @Test
  void theTokensOfTheTargetAreSharedByAllItsDaemons() {
    RoleCosts target =
        new RoleCosts(
            new Measurements(List.of(recorded(Point.of(Measure.TOKEN_MICROS, 40)))),
            FleetSize.TARGET);

    assertThat(target.tokensOfEntry()).isCloseTo(1_500_000 / 390.0, within(1e-6));
    assertThat(target.tokenCore().orElseThrow()).isCloseTo(15.38, within(0.01));
    assertThat(target.carryingCore()).isEmpty();
  }

  @Test
  void whatNoMeasurementCarriesIsSaidNotToBeMeasuredAndIsNotSaidToFit() {
    CapacityModel model = new CapacityModel(List.of());

    assertThat(CapacityPage.tables(List.of())).contains("not measured");
    assertThat(model.bounds())
        .filteredOn(bound -> bound.what().startsWith("membership"))
        .extracting(Bound::needed)
        .containsOnly(Optional.empty());
  }

  @Test
  void aNeedAboveWhatThereIsComesFirst() {
    List<Measurement> slow = List.of(recorded(Point.of(Measure.REVISION_REACHED, 390, 20_000)));
    List<Measurement> quick = List.of(recorded(Point.of(Measure.REVISION_REACHED, 390, 900)));
    String row = "a change in force on the last daemon, ms";

    assertThat(CapacityPage.tables(slow).indexOf(row))
        .isLessThan(CapacityPage.tables(slow).indexOf("### What fits"));
    assertThat(CapacityPage.tables(quick).indexOf(row))
        .isGreaterThan(CapacityPage.tables(quick).indexOf("### What fits"));
  }

  @Test
  void aRecordedMeasurementIsReadAsItWasWritten(@TempDir Path directory) throws Exception {
    Measurement measurement = recorded(new Point(Measure.CLAIMS_P99, 24, 500, 12.5));

    MeasurementFiles.record(directory, measurement);

    assertThat(MeasurementFiles.read(directory)).containsExactly(measurement);
  }

  private static Measurement recorded(Point... points) {
    return new Measurement(CapacityPart.TOKENS, "command", 7, MACHINE, List.of(points));
  }

  private static LeastSquares.Observation observation(double base, double first, double second) {
    return new LeastSquares.Observation(List.of(1.0, first, second), base + 2 * first - 3 * second);
  }
}
