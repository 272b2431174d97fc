package org.marjoramsail.command;

import java.io.PrintStream;
import java.util.EnumMap;
import java.util.Map;
import java.util.stream.Collectors;
import org.marjoramsail.core.time.Clock;
import org.marjoramsail.standin.load.LoadListener;
import org.marjoramsail.standin.load.RequestEnd;
import org.marjoramsail.standin.load.RequestOutcome;

/** Prints once a second how many requests have ended, and how. */
final class RunProgress implements LoadListener {

  private static final long EVERY_MILLIS = 1_000;

  private final PrintStream output;
  private final Clock clock;
  private final Map<RequestEnd, Long> ends = new EnumMap<>(RequestEnd.class);
  private long printedAt;

  RunProgress(PrintStream output, Clock clock) {
    this.output = output;
    this.clock = clock;
    this.printedAt = clock.millis();
  }

  @Override
  public synchronized void ended(RequestOutcome outcome) {
    ends.merge(outcome.end(), 1L, Long::sum);
    if (clock.millis() - printedAt >= EVERY_MILLIS) {
      printedAt = clock.millis();
      output.println(
          ends.entrySet().stream()
              .map(entry -> entry.getKey().code() + " " + entry.getValue())
              .collect(Collectors.joining(", ")));
    }
  }
}
