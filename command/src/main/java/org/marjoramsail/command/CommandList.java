package org.marjoramsail.command;

import java.util.List;

/** All commands of the program, in the order of the help. */
final class CommandList {

  private CommandList() {}

  /**
   * The commands that work here.
   *
   * @param withFleet whether daemons can be started in this process
   */
  static List<Class<? extends CommandAction>> available(boolean withFleet) {
    if (!withFleet) {
      return List.of(
          RunCommand.class,
          ShellCommand.class,
          ExplainCommand.class,
          CheckCommand.class,
          PlatformDemoCommand.class,
          PlatformSoakCommand.class,
          WorkloadCommand.class,
          StandInCommand.class);
    }
    return List.of(
        RunCommand.class,
        ShellCommand.class,
        ExplainCommand.class,
        CheckCommand.class,
        DemoCommand.class,
        PlatformDemoCommand.class,
        PlatformSoakCommand.class,
        BenchCommand.class,
        BenchCompareCommand.class,
        ControlCommand.class,
        CapacityCommand.class,
        SoakCommand.class,
        WorkloadCommand.class,
        StandInCommand.class);
  }
}
