package org.marjoramsail.command;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.help.Examples;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.marjoramsail.command.bench.ComparisonPlot;
import org.marjoramsail.command.bench.ComparisonRow;
import org.marjoramsail.command.bench.ComparisonTable;
import org.marjoramsail.core.failure.MarjoramsailException;
import org.marjoramsail.core.placement.PlacementPolicy;
import org.marjoramsail.standin.load.LoadReport;
import org.marjoramsail.standin.load.WorkloadDefinition;

/** Measures several policies under the same arrivals. */
@Command(
    name = "bench-compare",
    description = "Measures several placement policies under the same arrivals.")
@Examples(
    examples =
        "marjoramsail bench-compare --policies reserve,round-robin --loads 0.5,1,2 --seeds 3",
    descriptions = "Two policies at three loads, each with the seeds 1, 2 and 3")
public final class BenchCompareCommand implements CommandAction {

  private static final String POLICIES = "--policies";
  private static final String LOADS = "--loads";
  private static final String SEEDS = "--seeds";
  private static final int MOST_SEEDS = 20;

  @AirlineModule private WorkloadOptions workload = new WorkloadOptions();

  @AirlineModule private FleetOptions fleet = new FleetOptions();

  @Option(
      name = POLICIES,
      title = "policies",
      description = "The policies, separated by commas. Default: all")
  private String policies = "";

  @Option(
      name = LOADS,
      title = "loads",
      description = "The load factors, separated by commas; used instead of --load. Default: 1")
  private String loads = "1";

  @Option(
      name = SEEDS,
      title = "seeds",
      description = "How many seeds, the first being --seed, 1 to 20. Default: 1")
  private int seeds = 1;

  @Option(
      name = "--plot",
      title = "file",
      description = "Writes a plot of goodput over load to this PNG file")
  private String plot = "";

  @Override
  public ExitCode run(Surroundings surroundings) throws MarjoramsailException {
    if (seeds < 1 || seeds > MOST_SEEDS) {
      throw new UsageException(SEEDS, Integer.toString(seeds), "1 to " + MOST_SEEDS);
    }
    List<ComparisonRow> rows = new ArrayList<>();
    boolean clean = true;
    for (double load : chosenLoads()) {
      for (PlacementPolicy policy : chosenPolicies()) {
        List<LoadReport> reports = reports(policy, load, surroundings);
        clean &= reports.stream().allMatch(LoadReport::isClean);
        rows.add(ComparisonRow.of(policy.code(), load, reports));
      }
    }
    surroundings.output().print(ComparisonTable.of(rows));
    if (!plot.isEmpty()) {
      ComparisonPlot.write(rows, Path.of(plot));
    }
    return clean ? ExitCode.OK : ExitCode.BROKEN_INVARIANT;
  }

  private List<LoadReport> reports(PlacementPolicy policy, double load, Surroundings surroundings)
      throws MarjoramsailException {
    WorkloadDefinition first = workload.definition(fleet.capacity(workload)).withLoad(load);
    List<LoadReport> reports = new ArrayList<>();
    for (int each = 0; each < seeds; each++) {
      WorkloadDefinition definition = first.withSeed(first.seed() + each);
      surroundings
          .errors()
          .printf("%s at load %s, seed %d%n", policy.code(), load, definition.seed());
      reports.add(fleet.run(definition, policy, surroundings));
    }
    return reports;
  }

  private List<PlacementPolicy> chosenPolicies() throws UsageException {
    if (policies.isEmpty()) {
      return Arrays.asList(PlacementPolicy.values());
    }
    List<PlacementPolicy> chosen = new ArrayList<>();
    for (String code : policies.split(",", -1)) {
      chosen.add(Choice.of(POLICIES, code, PlacementPolicy.values(), PlacementPolicy::code));
    }
    return chosen;
  }

  private List<Double> chosenLoads() throws UsageException {
    List<Double> chosen = new ArrayList<>();
    for (String load : loads.split(",", -1)) {
      chosen.add(
          number(load)
              .filter(value -> value > 0 && value <= WorkloadOptions.MOST_LOAD)
              .orElseThrow(() -> new UsageException(LOADS, load, "numbers above 0, at most 10")));
    }
    return chosen;
  }

  private static Optional<Double> number(String text) {
    try {
      return Optional.of(Double.valueOf(text));
    } catch (NumberFormatException malformed) {
      return Optional.empty();
    }
  }
}
