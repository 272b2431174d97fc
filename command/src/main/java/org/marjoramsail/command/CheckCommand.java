package org.marjoramsail.command;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.help.Examples;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.marjoramsail.command.check.CheckJson;
import org.marjoramsail.command.check.CheckReport;
import org.marjoramsail.command.check.CheckText;
import org.marjoramsail.command.check.ConfigurationBytes;
import org.marjoramsail.command.check.UnreadableConfigurationException;
import org.marjoramsail.core.configuration.check.Severity;

/** Checks a configuration without sending it to a daemon. */
@Command(
    name = "check",
    description = "Checks a configuration that is not in force, and compares it with one that is.")
@Examples(
    examples = "marjoramsail check configuration.json --against configuration-in-force.json",
    descriptions = "What is wrong with a configuration, and what it would change")
public final class CheckCommand implements CommandAction {

  private static final String FILE = "FILE";
  private static final String AGAINST = "--against";
  private static final String FORMAT = "--format";
  private static final String TOKEN_FILE = "--token-file";

  @Arguments(title = FILE, description = "The configuration, or the settings of a daemon, in JSON")
  private List<String> files = new ArrayList<>();

  @Option(
      name = AGAINST,
      title = "file or URL",
      description = "Also prints what differs from the configuration in this file or at this URL")
  private String against = "";

  @Option(
      name = TOKEN_FILE,
      title = "file",
      description = "A file that holds a bearer token for the URL and nothing else")
  private String tokenFile = "";

  @Option(
      name = FORMAT,
      title = "format",
      description = "How results are printed: text or json. Default: text")
  private String format = "text";

  /** How results are printed. */
  private enum Form {
    TEXT,
    JSON;

    String code() {
      return name().toLowerCase(Locale.ROOT);
    }
  }

  @Override
  public ExitCode run(Surroundings surroundings) throws UsageException {
    Form form = Choice.of(FORMAT, format, Form.values(), Form::code);
    if (files.size() != 1) {
      throw new UsageException(FILE, String.join(" ", files), "one file");
    }
    Optional<String> compared = Optional.of(against).filter(source -> !source.isEmpty());
    ConfigurationBytes reader = new ConfigurationBytes(token());
    try {
      CheckReport report = CheckReport.of(files.get(0), compared, reader);
      ExitCode result = result(report);
      if (form == Form.JSON) {
        surroundings.output().println(CheckJson.text(report, code(result)));
      } else {
        CheckText.lines(report).forEach(surroundings.output()::println);
      }
      return result;
    } catch (UnreadableConfigurationException failure) {
      if (form == Form.JSON) {
        surroundings.output().println(CheckJson.unreadable(failure, code(ExitCode.UNREADABLE)));
      } else {
        surroundings.errors().println(CheckText.printable(failure.getMessage()));
      }
      return ExitCode.UNREADABLE;
    }
  }

  private Optional<String> token() throws UsageException {
    if (tokenFile.isEmpty()) {
      return Optional.empty();
    }
    try {
      return Optional.of(Files.readString(Path.of(tokenFile)).strip());
    } catch (IOException unreadable) {
      throw new UsageException(TOKEN_FILE, tokenFile, "a file that can be read");
    }
  }

  private static ExitCode result(CheckReport report) {
    if (report.count(Severity.ERROR) > 0) {
      return ExitCode.ERRORS;
    }
    return report.findings().isEmpty() ? ExitCode.OK : ExitCode.WARNINGS;
  }

  private static String code(ExitCode result) {
    return result.name().toLowerCase(Locale.ROOT);
  }
}
