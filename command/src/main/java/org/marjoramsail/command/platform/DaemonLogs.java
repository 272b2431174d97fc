package org.marjoramsail.command.platform;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/** Finds what the processes of a soak logged about single calls, and about their own ends. */
final class DaemonLogs {

  /** Number of calls of which lines are returned, so that a report stays readable. */
  private static final int MOST_CALLS = 5;

  private static final int MOST_LINES_PER_CALL = 40;

  /** Loggers of a process that report its start, its stop and its settings. */
  private static final List<String> PROCESS_LOGGERS =
      List.of(" MarjoramsailDaemon ", " StopSequence ", " SettingsReload ");

  private final Path directory;

  /**
   * Creates an instance for processes that log to a directory.
   *
   * @param directory has a file {@code HOST-NUMBER.log} for each process
   */
  DaemonLogs(Path directory) {
    this.directory = directory;
  }

  /**
   * Returns the lines of all processes about the first calls, and those of their hosts about starts
   * and stops.
   */
  List<String> linesOf(List<UnansweredCall> calls) throws IOException {
    List<String> lines = new ArrayList<>();
    List<UnansweredCall> first = calls.subList(0, Math.min(MOST_CALLS, calls.size()));
    List<Path> files = files();
    for (UnansweredCall call : first) {
      Pattern request = Pattern.compile(Pattern.quote(call.request()) + "(?![0-9])");
      lines.addAll(search(files, line -> request.matcher(line).find(), MOST_LINES_PER_CALL));
    }
    for (String host : first.stream().map(UnansweredCall::host).distinct().toList()) {
      List<Path> own =
          files.stream().filter(file -> name(file).startsWith(host + "-")).sorted().toList();
      lines.addAll(search(own, DaemonLogs::isAboutProcess, Integer.MAX_VALUE));
    }
    return lines;
  }

  private List<Path> files() throws IOException {
    try (Stream<Path> files = Files.list(directory)) {
      return files.filter(file -> name(file).endsWith(".log")).sorted().toList();
    }
  }

  private static boolean isAboutProcess(String line) {
    return PROCESS_LOGGERS.stream().anyMatch(line::contains);
  }

  private static List<String> search(List<Path> files, Predicate<String> isWanted, int most)
      throws IOException {
    List<String> found = new ArrayList<>();
    for (Path file : files) {
      try (Stream<String> lines = Files.lines(file)) {
        lines.filter(isWanted).map(line -> name(file) + ": " + line).forEach(found::add);
      }
    }
    return found.subList(0, Math.min(most, found.size()));
  }

  private static String name(Path file) {
    return file.getFileName().toString();
  }
}
