package org.marjoramsail.command;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.help.Discussion;
import com.github.rvesse.airline.annotations.help.Examples;
import org.marjoramsail.command.platform.KindCount;
import org.marjoramsail.command.platform.PlatformDemo;

/** Shows daemons at work before stand-ins of the users' platform. */
@Command(
    name = "platform-demo",
    description = "Runs daemons before stand-ins of the users' platform, and reports on it.")
@Discussion(
    paragraphs = {
      "Starts a store, engines, plain servers and daemons on loopback, sends requests of every kind"
          + " to the daemons in turn and checks that each is answered in full and run once.",
      "Ends with 0 only when nothing was lost, broken off or run twice."
    })
@Examples(
    examples = {"marjoramsail platform-demo", "marjoramsail platform-demo --daemons 5 --rate 200"},
    descriptions = {"Two daemons for five seconds", "Five daemons under more load"})
public final class PlatformDemoCommand implements CommandAction {

  private static final int MOST_DAEMONS = 20;
  private static final int MOST_SECONDS = 600;
  private static final int MOST_RATE = 500;

  @Option(name = "--daemons", title = "COUNT", description = "how many daemons, 1 to 20; default 2")
  private int daemons = 2;

  @Option(name = "--seconds", title = "SECONDS", description = "how long, 1 to 600; default 5")
  private int seconds = 5;

  @Option(
      name = "--rate",
      title = "REQUESTS",
      description = "requests a second, 1 to 500; default 40")
  private int rate = 40;

  @Override
  public ExitCode run(Surroundings surroundings) throws UsageException {
    require("--daemons", daemons, MOST_DAEMONS);
    require("--seconds", seconds, MOST_SECONDS);
    require("--rate", rate, MOST_RATE);
    PlatformDemo demo = new PlatformDemo(surroundings.clock());
    demo.run(
        daemons,
        rate,
        seconds,
        ports -> surroundings.output().println("Daemons take requests on ports " + ports + "."));
    boolean isClean = demo.doubled() == 0;
    for (KindCount kind : demo.kinds()) {
      isClean &= kind.brokenCount() == 0 && kind.lostCount() == 0;
      surroundings.output().println(kind);
    }
    surroundings.output().printf("%d attempts ran twice.%n", demo.doubled());
    return isClean ? ExitCode.OK : ExitCode.BROKEN_INVARIANT;
  }

  private static void require(String option, int value, int most) throws UsageException {
    if (value < 1 || value > most) {
      throw new UsageException(option, Integer.toString(value), "1 to " + most);
    }
  }
}
