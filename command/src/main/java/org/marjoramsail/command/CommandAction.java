package org.marjoramsail.command;

import org.marjoramsail.core.failure.MarjoramsailException;

/** A parsed command that can be carried out. */
interface CommandAction {

  /**
   * Does what was asked.
   *
   * @param surroundings what the command may use
   * @return how the process ends
   * @throws UsageException when an option's value is not allowed
   */
  ExitCode run(Surroundings surroundings) throws MarjoramsailException;
}
