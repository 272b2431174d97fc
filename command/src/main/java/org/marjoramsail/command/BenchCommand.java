package org.marjoramsail.command;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.help.Examples;
import org.marjoramsail.core.failure.MarjoramsailException;
import org.marjoramsail.standin.load.LoadReport;
import org.marjoramsail.standin.load.LoadReportJson;
import org.marjoramsail.standin.load.LoadReportText;

/** Measures one policy under one workload. */
@Command(name = "bench", description = "Measures one placement policy under one workload.")
@Examples(
    examples = "marjoramsail bench --deployment rosario --policy reserve --load 1.5 --format json",
    descriptions = "Half as much again as the pools can carry")
public final class BenchCommand implements CommandAction {

  private static final String FORMAT = "--format";

  @AirlineModule private WorkloadOptions workload = new WorkloadOptions();

  @AirlineModule private FleetOptions fleet = new FleetOptions();

  @Option(
      name = FORMAT,
      title = "format",
      description = "How the report is written: text or json. Default: text")
  private String format = "text";

  /** How a report is written. */
  private enum Format {
    TEXT("text") {
      @Override
      String write(LoadReport report) {
        return LoadReportText.of(report);
      }
    },
    JSON("json") {
      @Override
      String write(LoadReport report) {
        return LoadReportJson.of(report) + "\n";
      }
    };

    private final String code;

    Format(String code) {
      this.code = code;
    }

    abstract String write(LoadReport report);
  }

  @Override
  public ExitCode run(Surroundings surroundings) throws MarjoramsailException {
    Format chosen = Choice.of(FORMAT, format, Format.values(), value -> value.code);
    LoadReport report = fleet.run(workload, surroundings);
    surroundings.output().print(chosen.write(report));
    return report.isClean() ? ExitCode.OK : ExitCode.BROKEN_INVARIANT;
  }
}
