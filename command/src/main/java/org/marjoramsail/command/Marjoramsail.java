package org.marjoramsail.command;

import com.github.rvesse.airline.Cli;
import com.github.rvesse.airline.help.Help;
import com.github.rvesse.airline.model.CommandMetadata;
import com.github.rvesse.airline.model.GlobalMetadata;
import com.github.rvesse.airline.parser.errors.ParseException;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Properties;
import java.util.ServiceLoader;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.marjoramsail.command.fleet.FleetDaemonFactory;
import org.marjoramsail.command.operator.DaemonUnreachableException;
import org.marjoramsail.core.failure.MarjoramsailException;
import org.marjoramsail.core.time.Clock;
import org.marjoramsail.language.NearestName;

/** The program {@code marjoramsail}. */
public final class Marjoramsail {

  private static final List<String> HELP = List.of("--help", "-h", "help");
  private static final String VERSION = "--version";
  private static final String VERSION_RESOURCE =
      "/META-INF/maven/org.marjoramsail/marjoramsail-core/pom.properties";

  private final Surroundings surroundings;
  private final Cli<CommandAction> commands;

  Marjoramsail(Surroundings surroundings) {
    this.surroundings = surroundings;
    this.commands =
        Cli.<CommandAction>builder("marjoramsail")
            .withDescription("Asks and orders daemons, and tries them under load.")
            .withCommands(CommandList.available(surroundings.daemons().isPresent()))
            .build();
  }

  /** Runs one command and ends the process with its exit code. */
  public static void main(String[] arguments) {
    long origin = System.nanoTime();
    Clock clock = () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - origin);
    Optional<FleetDaemonFactory> daemons = ServiceLoader.load(FleetDaemonFactory.class).findFirst();
    Surroundings process = new Surroundings(System.out, System.err, clock, daemons);
    ExitCode exitCode = new Marjoramsail(process).run(arguments);
    System.out.flush();
    System.exit(exitCode.code());
  }

  /**
   * Runs one command.
   *
   * @param arguments the command line
   * @return how the process ends
   */
  ExitCode run(String... arguments) {
    if (arguments.length == 0 || Arrays.stream(arguments).anyMatch(HELP::contains)) {
      return help(arguments);
    }
    if (arguments[0].equals(VERSION)) {
      surroundings.output().println("marjoramsail " + version());
      return ExitCode.OK;
    }
    try {
      return commands.parse(arguments).run(surroundings);
    } catch (ParseException failure) {
      return usage(failure.getMessage(), suggestion(arguments), arguments);
    } catch (UsageException failure) {
      return usage(failure.getMessage(), Optional.empty(), arguments);
    } catch (DaemonUnreachableException failure) {
      surroundings.errors().println(failure.getMessage());
      return ExitCode.UNAVAILABLE;
    } catch (MarjoramsailException failure) {
      surroundings.errors().println(failure.getMessage());
      return ExitCode.FAILURE;
    }
  }

  private ExitCode help(String... arguments) {
    List<String> words =
        Arrays.stream(arguments)
            .filter(word -> !HELP.contains(word))
            .takeWhile(word -> !word.startsWith("-"))
            .toList();
    if (!words.isEmpty() && command(words.get(0)).isEmpty()) {
      return usage(
          "There is no command '%s'.".formatted(words.get(0)), suggestion(words.get(0)), arguments);
    }
    try {
      Help.help(commands.getMetadata(), words.stream().limit(1).toList(), surroundings.output());
    } catch (IOException failure) {
      throw new UncheckedIOException("The help could not be printed.", failure);
    }
    surroundings.output().println("EXIT CODES");
    for (ExitCode exitCode : ExitCode.values()) {
      surroundings.output().printf("        %d  %s%n", exitCode.code(), exitCode.meaning());
    }
    return ExitCode.OK;
  }

  private ExitCode usage(String fault, Optional<String> suggestion, String... arguments) {
    surroundings.errors().println(fault);
    suggestion.ifPresent(surroundings.errors()::println);
    String topic =
        arguments.length > 0 && command(arguments[0]).isPresent() ? " " + arguments[0] : "";
    surroundings.errors().printf("Try marjoramsail%s --help.%n", topic);
    return ExitCode.USAGE;
  }

  /** The nearest command for an unknown one, otherwise the nearest option for an unknown one. */
  private Optional<String> suggestion(String... arguments) {
    GlobalMetadata<CommandAction> metadata = commands.getMetadata();
    Optional<CommandMetadata> command = command(arguments[0]);
    if (command.isEmpty()) {
      List<String> names = new ArrayList<>();
      metadata.getDefaultGroupCommands().forEach(known -> names.add(known.getName()));
      return didYouMean(arguments[0], names);
    }
    List<String> options =
        command.get().getAllOptions().stream()
            .flatMap(option -> option.getOptions().stream())
            .toList();
    return unknownOptions(options, arguments)
        .findFirst()
        .flatMap(unknown -> didYouMean(unknown, options));
  }

  private static Stream<String> unknownOptions(List<String> options, String... arguments) {
    return Arrays.stream(arguments)
        .filter(argument -> argument.startsWith("-"))
        .map(argument -> argument.split("=", 2)[0])
        .filter(argument -> !options.contains(argument));
  }

  private static Optional<String> didYouMean(String typed, List<String> names) {
    return NearestName.of(typed, names).map(name -> "%s: did you mean %s?".formatted(typed, name));
  }

  private Optional<CommandMetadata> command(String name) {
    return commands.getMetadata().getDefaultGroupCommands().stream()
        .filter(known -> known.getName().equals(name))
        .findFirst();
  }

  private static String version() {
    try (InputStream stream = Marjoramsail.class.getResourceAsStream(VERSION_RESOURCE)) {
      if (stream == null) {
        return "(not packaged)";
      }
      Properties properties = new Properties();
      properties.load(stream);
      return properties.getProperty("version");
    } catch (IOException failure) {
      throw new UncheckedIOException("The program's own version cannot be read.", failure);
    }
  }
}
