package org.marjoramsail.command;

import java.util.List;

/** All commands of the program, in the order of the help. */
final class CommandList {

  private CommandList() {}

  static List<Class<? extends CommandAction>> all() {
    return List.of(WorkloadCommand.class);
  }
}
