package org.marjoramsail.daemon.main;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.Configurator;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.spi.ContextAwareBase;

/**
 * Says what is logged until the settings are read, and in tests; found as a service.
 *
 * <p>Code in place of a file of XML: its parser alone takes a fifth of the processor time of a
 * start.
 */
public final class StartupLogging extends ContextAwareBase implements Configurator {

  /** Found by name as a service. */
  public StartupLogging() {}

  @Override
  public ExecutionStatus configure(LoggerContext context) {
    ConsoleAppender<ILoggingEvent> appender =
        LoggingSetup.console(context, "System.err", new TextLineEncoder());
    Logger root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
    root.setLevel(Level.WARN);
    root.addAppender(appender);
    return ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY;
  }
}
