package org.marjoramsail.daemon.main;

import com.github.rvesse.airline.SingleCommand;
import com.github.rvesse.airline.help.Help;
import com.github.rvesse.airline.parser.errors.ParseException;
import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.marjoramsail.language.NearestName;

/**
 * Parses the command line and explains it.
 *
 * <p>The only class that touches Airline, so that a start as the platform makes it does not load
 * its several hundred classes.
 */
final class CommandLine {

  private final PrintStream output;
  private final PrintStream errors;
  private final SingleCommand<DaemonArguments> command =
      SingleCommand.singleCommand(DaemonArguments.class);

  CommandLine(PrintStream output, PrintStream errors) {
    this.output = output;
    this.errors = errors;
  }

  /** The arguments; empty if they cannot be understood, which is then printed. */
  Optional<DaemonArguments> parse(String... arguments) {
    try {
      return Optional.of(command.parse(arguments));
    } catch (ParseException failure) {
      printUsage(failure.getMessage(), arguments);
      return Optional.empty();
    }
  }

  /** Prints what is wrong and which option was most likely meant. */
  void printUsage(String fault, String... arguments) {
    errors.println(fault);
    nearestOption(arguments).ifPresent(errors::println);
    errors.println("Try marjoramsaild --help.");
  }

  /** Prints options, exit codes and signals. */
  void printHelp() {
    try {
      Help.help(command.getCommandMetadata(), output);
    } catch (IOException failure) {
      throw new UncheckedIOException("The help could not be printed.", failure);
    }
    output.println("EXIT CODES");
    for (ExitCode exitCode : ExitCode.values()) {
      output.printf("        %d  %s%n", exitCode.code(), exitCode.meaning());
    }
    output.println();
    output.println("SIGNALS");
    output.println("        TERM, INT  stop and lose nothing; a second one stops at once");
    output.println("        HUP        read the settings again");
  }

  private Optional<String> nearestOption(String... arguments) {
    List<String> options =
        command.getCommandMetadata().getAllOptions().stream()
            .flatMap(option -> option.getOptions().stream())
            .toList();
    return Arrays.stream(arguments)
        .filter(argument -> argument.startsWith("-"))
        .map(argument -> argument.split("=", 2)[0])
        .filter(argument -> !options.contains(argument))
        .findFirst()
        .flatMap(
            argument ->
                NearestName.of(argument, options)
                    .map(option -> argument + ": did you mean " + option + "?"));
  }
}
