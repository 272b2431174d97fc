package org.marjoramsail.command;

import java.io.PrintStream;
import java.util.Optional;
import org.marjoramsail.command.fleet.FleetDaemonFactory;
import org.marjoramsail.core.time.Clock;

/**
 * What commands use of the process that they run in.
 *
 * @param output where results are printed
 * @param errors where progress and faults are printed
 * @param clock the time
 * @param daemons starts daemons in this process, where the class path has what it needs
 */
record Surroundings(
    PrintStream output, PrintStream errors, Clock clock, Optional<FleetDaemonFactory> daemons) {}
