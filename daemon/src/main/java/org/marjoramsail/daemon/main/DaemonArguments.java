package org.marjoramsail.daemon.main;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;

/** The daemon's command line as Airline fills it in. */
@Command(name = "marjoramsaild", description = "Routes requests of callers to upstreams.")
public final class DaemonArguments {

  @Option(
      name = {"-s", "--settings"},
      title = "FILE",
      description = "The settings, as JSON; required to start and for --check.")
  private String settings = "";

  @Option(
      name = {"-c", "--check"},
      description = "Checks the settings, prints every fault, and starts nothing.")
  private boolean check;

  @Option(
      name = {"-h", "--help"},
      description = "Prints this help.")
  private boolean help;

  @Option(
      name = {"-V", "--version"},
      description = "Prints the version.")
  private boolean version;

  /** Filled in by Airline. */
  public DaemonArguments() {}

  String settings() {
    return settings;
  }

  boolean isCheck() {
    return check;
  }

  boolean isHelp() {
    return help;
  }

  boolean isVersion() {
    return version;
  }
}
