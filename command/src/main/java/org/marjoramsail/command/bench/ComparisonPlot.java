package org.marjoramsail.command.bench;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.marjoramsail.command.fleet.FleetException;

/** Draws goodput over load, a line for each policy. */
public final class ComparisonPlot {

  private static final int WIDTH = 900;
  private static final int HEIGHT = 540;

  private ComparisonPlot() {}

  /**
   * Writes the plot as a PNG file.
   *
   * @throws FleetException when the file cannot be written
   */
  public static void write(List<ComparisonRow> rows, Path file) throws FleetException {
    XYChart chart =
        new XYChartBuilder()
            .width(WIDTH)
            .height(HEIGHT)
            .title("Goodput under both latency targets")
            .xAxisTitle("load, as a multiple of capacity")
            .yAxisTitle("requests a second")
            .build();
    Set<String> policies = new LinkedHashSet<>();
    rows.forEach(row -> policies.add(row.policy()));
    for (String policy : policies) {
      List<ComparisonRow> line =
          rows.stream()
              .filter(row -> row.policy().equals(policy))
              .sorted(Comparator.comparingDouble(ComparisonRow::load))
              .toList();
      chart.addSeries(
          policy,
          line.stream().mapToDouble(ComparisonRow::load).toArray(),
          line.stream().mapToDouble(ComparisonRow::goodputPerSecond).toArray());
    }
    try {
      BitmapEncoder.saveBitmap(chart, file.toString(), BitmapEncoder.BitmapFormat.PNG);
    } catch (IOException failure) {
      throw new FleetException("write " + file, failure);
    }
  }
}
