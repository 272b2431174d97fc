package org.marjoramsail.command;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.help.Discussion;
import com.github.rvesse.airline.annotations.help.Examples;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.stream.Stream;
import org.marjoramsail.command.capacity.Bench;
import org.marjoramsail.command.capacity.CapacityPage;
import org.marjoramsail.command.capacity.CapacityPart;
import org.marjoramsail.command.capacity.Measurement;
import org.marjoramsail.command.capacity.MeasurementFiles;
import org.marjoramsail.core.failure.MarjoramsailException;

/** Measures what each role costs, or prints what recorded measurements make of the target size. */
@Command(
    name = "capacity",
    description = "Measures what each role of a daemon costs, for the target size.")
@Discussion(
    paragraphs = {
      "Runs in one process on loopback, some minutes a part. Give it a heap below half of the"
          + " machine's memory; two gigabytes do.",
      "With --table it measures nothing and prints the tables of docs/CAPACITY.md from recorded"
          + " measurements."
    })
@Examples(
    examples = {
      "marjoramsail capacity --part membership",
      "marjoramsail capacity --record docs/measurements",
      "marjoramsail capacity --table docs/measurements"
    },
    descriptions = {
      "One part, as a table",
      "All parts, recorded as a file for each",
      "The tables of the page from the recorded files"
    })
public final class CapacityCommand implements CommandAction {

  private static final String PART = "--part";
  private static final String FORMAT = "--format";
  private static final String ALL = "all";

  @Option(
      name = PART,
      title = "part",
      description =
          "membership, claims, placement, configuration, tokens, overhead or all. Default: all")
  private String part = ALL;

  @Option(name = "--seed", title = "seed", description = "Decides all that is drawn. Default: 7")
  private long seed = 7;

  @Option(
      name = "--record",
      title = "directory",
      description = "Writes a file for each part into this directory")
  private String record = "";

  @Option(
      name = "--table",
      title = "directory",
      description = "Prints the tables of the recorded files of this directory, without measuring")
  private String table = "";

  @Option(name = FORMAT, title = "format", description = "text or json. Default: text")
  private String format = "text";

  /** How measurements are printed. */
  private enum Format {
    TEXT,
    JSON
  }

  @Override
  public ExitCode run(Surroundings surroundings) throws MarjoramsailException {
    Format chosen =
        Choice.of(FORMAT, format, Format.values(), value -> value.name().toLowerCase(Locale.ROOT));
    List<CapacityPart> parts = chosenParts();
    if (!table.isEmpty()) {
      surroundings.output().print(CapacityPage.tables(MeasurementFiles.read(Path.of(table))));
      return ExitCode.OK;
    }
    List<Measurement> measurements = new ArrayList<>();
    for (CapacityPart each : parts) {
      surroundings.errors().printf("measuring %s%n", each.code());
      Measurement measurement = each.measure(new Bench(surroundings.clock(), seed));
      if (!record.isEmpty()) {
        MeasurementFiles.record(Path.of(record), measurement);
      }
      measurements.add(measurement);
    }
    surroundings
        .output()
        .print(
            chosen == Format.JSON
                ? MeasurementFiles.json(measurements)
                : CapacityPage.points(measurements));
    return ExitCode.OK;
  }

  private List<CapacityPart> chosenParts() throws UsageException {
    if (part.equals(ALL)) {
      return Arrays.asList(CapacityPart.values());
    }
    List<String> names =
        Stream.concat(Arrays.stream(CapacityPart.values()).map(CapacityPart::code), Stream.of(ALL))
            .toList();
    return Arrays.stream(CapacityPart.values())
        .filter(each -> each.code().equals(part))
        .findFirst()
        .map(List::of)
        .orElseThrow(() -> UsageException.notOneOf(PART, part, names));
  }
}
