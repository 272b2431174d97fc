package org.marjoramsail.command;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.help.Discussion;
import com.github.rvesse.airline.annotations.help.Examples;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.marjoramsail.command.fleet.FleetException;
import org.marjoramsail.command.fleet.ProcessDaemons;
import org.marjoramsail.command.soak.SoakFault;
import org.marjoramsail.command.soak.SoakReport;
import org.marjoramsail.command.soak.SoakReportJson;
import org.marjoramsail.command.soak.SoakReportText;
import org.marjoramsail.command.soak.SoakRun;
import org.marjoramsail.command.soak.SoakSetup;
import org.marjoramsail.core.failure.MarjoramsailException;
import org.marjoramsail.standin.load.WorkloadDefinition;

/** Tries a whole deployment under faults. */
@Command(
    name = "soak",
    description = "Runs a whole deployment while daemons, engines, services and the store fail.")
@Discussion(
    paragraphs = {
      "Faults come from the seed, at least one every second, and overlap. Every answer is checked"
          + " token by token, and the end by what the stand-ins counted.",
      "A caller whose daemon is ended sees a cut connection and counts as daemon-died; with a key it"
          + " sends again through another daemon. Ends with 3 when anything was lost, answered"
          + " twice, answered wrongly, run twice, or falsely said not to have run."
    })
@Examples(
    examples = {
      "marjoramsail soak --deployment rosario --seconds 600 --seed 7 --load 0.3",
      "marjoramsail soak --faults daemon-kill,store-outage"
    },
    descriptions = {"All faults for ten minutes", "Only daemons that die and a store that is down"})
public final class SoakCommand implements CommandAction {

  private static final String FAULTS = "--faults";
  private static final String FORMAT = "--format";
  private static final String ALL = "all";
  private static final String NONE = "none";

  @AirlineModule private WorkloadOptions workload = new WorkloadOptions();

  @AirlineModule private FleetOptions fleet = new FleetOptions();

  @Option(
      name = FAULTS,
      title = "kinds",
      description = "Which faults happen: all, none, or kinds joined by commas. Default: all")
  private String faults = ALL;

  @Option(
      name = FORMAT,
      title = "format",
      description = "How the report is written: text or json. Default: text")
  private String format = "text";

  @Option(
      name = "--processes",
      description = "Runs each daemon as a process of its own, which signals end and pause")
  private boolean processes;

  /** How a report is written. */
  private enum Format {
    TEXT("text") {
      @Override
      String write(SoakReport report) {
        return SoakReportText.of(report);
      }
    },
    JSON("json") {
      @Override
      String write(SoakReport report) {
        return SoakReportJson.of(report) + "\n";
      }
    };

    private final String code;

    Format(String code) {
      this.code = code;
    }

    abstract String write(SoakReport report);
  }

  @Override
  public ExitCode run(Surroundings surroundings) throws MarjoramsailException {
    Format chosen = Choice.of(FORMAT, format, Format.values(), value -> value.code);
    WorkloadDefinition definition = workload.definition(fleet.capacity(workload));
    SoakSetup setup = new SoakSetup(fleet.setup(definition), definition, chosenFaults());
    RunProgress progress = new RunProgress(surroundings.errors(), surroundings.clock());
    SoakReport report =
        processes
            ? runProcesses(setup, progress, surroundings)
            : new SoakRun(surroundings.clock(), surroundings.daemons().orElseThrow())
                .run(setup, progress);
    surroundings.output().print(chosen.write(report));
    return report.isClean() ? ExitCode.OK : ExitCode.BROKEN_INVARIANT;
  }

  private static SoakReport runProcesses(
      SoakSetup setup, RunProgress progress, Surroundings surroundings)
      throws MarjoramsailException {
    Path directory;
    try {
      directory = ProcessDaemons.newDirectory();
    } catch (IOException failure) {
      throw new FleetException("make a directory for its processes", failure);
    }
    surroundings.errors().println("Settings and logs of the daemons are in " + directory);
    try (ProcessDaemons daemons = new ProcessDaemons(directory)) {
      Runtime.getRuntime().addShutdownHook(new Thread(daemons::close));
      return new SoakRun(surroundings.clock(), daemons).run(setup, progress);
    }
  }

  private List<SoakFault> chosenFaults() throws UsageException {
    if (faults.equals(NONE)) {
      return List.of();
    }
    if (faults.equals(ALL)) {
      return List.of(SoakFault.values());
    }
    List<SoakFault> chosen = new ArrayList<>();
    for (String code : faults.split(",", -1)) {
      chosen.add(Choice.of(FAULTS, code, SoakFault.values(), SoakFault::code));
    }
    return chosen;
  }
}
