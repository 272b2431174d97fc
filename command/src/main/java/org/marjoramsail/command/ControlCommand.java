package org.marjoramsail.command;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.help.Examples;
import org.marjoramsail.command.fleet.ControlRun;
import org.marjoramsail.command.fleet.Deployment;
import org.marjoramsail.command.fleet.FleetSetup;
import org.marjoramsail.core.failure.MarjoramsailException;
import org.marjoramsail.standin.engine.EngineTimings;
import org.marjoramsail.standin.load.RequestMix;

/** Measures the spreading of changes and the store calls of daemons at rest. */
@Command(
    name = "control",
    description = "Measures how fast changes are in force everywhere, and store calls at rest.")
@Examples(
    examples = "marjoramsail control --daemons 7 --changes 50 --rest-seconds 60",
    descriptions = "Fifty changes, each through the next of seven daemons")
public final class ControlCommand implements CommandAction {

  private static final String DAEMONS = "--daemons";
  private static final String CHANGES = "--changes";
  private static final String REST = "--rest-seconds";
  private static final int MOST = 1_000;

  @Option(name = DAEMONS, title = "daemons", description = "How many daemons. Default: 7")
  private int daemons = Deployment.DAEMONS;

  @Option(name = CHANGES, title = "changes", description = "How many changes. Default: 50")
  private int changes = 50;

  @Option(
      name = REST,
      title = "seconds",
      description = "How long before the changes, after them, and while calls are counted")
  private int restSeconds = 60;

  @Override
  public ExitCode run(Surroundings surroundings) throws MarjoramsailException {
    check(DAEMONS, daemons);
    check(CHANGES, changes);
    check(REST, restSeconds);
    FleetSetup setup =
        new FleetSetup(
            Deployment.of(RequestMix.CABILDO_ABIERTO),
            daemons,
            "reserve",
            1,
            EngineTimings.defaults());
    new ControlRun(
            surroundings.clock(), surroundings.daemons().orElseThrow(), surroundings.output())
        .run(setup, changes, restSeconds);
    return ExitCode.OK;
  }

  private static void check(String option, int value) throws UsageException {
    if (value < 1 || value > MOST) {
      throw new UsageException(option, Integer.toString(value), "1 to " + MOST);
    }
  }
}
