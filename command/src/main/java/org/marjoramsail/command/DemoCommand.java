package org.marjoramsail.command;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.help.Discussion;
import com.github.rvesse.airline.annotations.help.Examples;
import org.marjoramsail.core.failure.MarjoramsailException;
import org.marjoramsail.standin.load.LoadReport;
import org.marjoramsail.standin.load.LoadReportText;

/** Shows a whole deployment at work. */
@Command(name = "demo", description = "Runs a whole deployment in one process and reports on it.")
@Discussion(
    paragraphs = {
      "Starts the platform stand-in, engines, plain services and seven daemons on loopback, sends"
          + " the deployment's mix of requests and checks every answer token by token.",
      "Ends with 0 only when nothing was lost, cut, answered twice, answered wrongly or run twice."
    })
@Examples(
    examples = {"marjoramsail demo", "marjoramsail demo --deployment rosario --seconds 60"},
    descriptions = {"A vote opens", "Filings and bus-queue lookups for a minute"})
public final class DemoCommand implements CommandAction {

  @AirlineModule private WorkloadOptions workload = new WorkloadOptions();

  @AirlineModule private FleetOptions fleet = new FleetOptions();

  @Override
  public ExitCode run(Surroundings surroundings) throws MarjoramsailException {
    LoadReport report = fleet.run(workload, surroundings);
    surroundings.output().print(LoadReportText.of(report));
    return report.isClean() ? ExitCode.OK : ExitCode.BROKEN_INVARIANT;
  }
}
