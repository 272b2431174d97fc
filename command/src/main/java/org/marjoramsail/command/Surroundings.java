package org.marjoramsail.command;

import java.io.PrintStream;
import org.marjoramsail.core.time.Clock;

/**
 * What commands use of the process that they run in.
 *
 * @param output where results are printed
 * @param errors where progress and faults are printed
 * @param clock the time
 */
record Surroundings(PrintStream output, PrintStream errors, Clock clock) {}
