package org.marjoramsail.command;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.help.Examples;
import java.io.PrintStream;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.marjoramsail.standin.load.PlannedRequest;
import org.marjoramsail.standin.load.Prompt;
import org.marjoramsail.standin.load.Workload;

/** Prints what a run would send, without sending it. */
@Command(name = "workload", description = "Prints the requests that a run would send.")
@Examples(
    examples = "marjoramsail workload --deployment rosario --shape evening-news --seed 7",
    descriptions = "The requests of a deadline on the evening news")
public final class WorkloadCommand implements CommandAction {

  private static final String RATE = "--rate";

  @AirlineModule private WorkloadOptions workload = new WorkloadOptions();

  @Option(
      name = RATE,
      title = "rate",
      description = "What the deployment can carry, in requests a second. Default: 200")
  private double rate = 200;

  @Option(name = "--each", description = "Prints a line for each request instead of the sums")
  private boolean each;

  @Override
  public ExitCode run(Surroundings surroundings) throws UsageException {
    if (!(rate > 0)) {
      throw new UsageException(RATE, Double.toString(rate), "more than 0");
    }
    List<PlannedRequest> requests = Workload.plan(workload.definition(rate));
    if (each) {
      requests.forEach(request -> printOne(surroundings.output(), request));
    } else {
      printSums(surroundings.output(), requests);
    }
    return ExitCode.OK;
  }

  private static void printOne(PrintStream output, PlannedRequest request) {
    output.printf(
        "%8d ms  %-14s %-20s %-24s %5d prompt tokens%n",
        request.atMillis(),
        request.organisation(),
        request.kind().code(),
        request.reference(),
        request.prompt().map(Prompt::tokens).orElse(0));
  }

  private static void printSums(PrintStream output, List<PlannedRequest> requests) {
    Map<String, Long> byKind =
        requests.stream()
            .collect(
                Collectors.groupingBy(
                    request -> request.kind().code(), TreeMap::new, Collectors.counting()));
    long promptTokens =
        requests.stream()
            .flatMap(request -> request.prompt().stream())
            .mapToLong(Prompt::tokens)
            .sum();
    output.printf("%-20s %8d%n", "requests", requests.size());
    byKind.forEach((kind, count) -> output.printf("  %-18s %8d%n", kind, count));
    output.printf("%-20s %8d%n", "prompt tokens", promptTokens);
  }
}
