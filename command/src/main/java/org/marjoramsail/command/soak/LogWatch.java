package org.marjoramsail.command.soak;

import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.spi.IThrowableProxy;
import ch.qos.logback.core.AppenderBase;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.RejectedExecutionException;
import org.slf4j.LoggerFactory;

/**
 * Counts the exceptions that code did not handle itself, which Vert.x logs, by their class and the
 * place in the project's code where they come from.
 */
final class LogWatch extends AppenderBase<ILoggingEvent> {

  private static final String UNHANDLED = "Unhandled exception";
  private static final String CLOSED_CLIENT = "Client is closed";
  private static final String PROJECT = "org.marjoramsail.";

  private final Map<String, Long> unhandled = new TreeMap<>();
  private final Logger root;

  private LogWatch(LoggerContext context) {
    this.root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
    setContext(context);
  }

  /** Begins to count. */
  static LogWatch begin() {
    LogWatch watch = new LogWatch((LoggerContext) LoggerFactory.getILoggerFactory());
    watch.start();
    watch.root.addAppender(watch);
    return watch;
  }

  /** Ends counting. */
  void end() {
    root.detachAppender(this);
    stop();
  }

  /** How often each exception was seen. */
  synchronized Map<String, Long> unhandled() {
    return new TreeMap<>(unhandled);
  }

  @Override
  protected synchronized void append(ILoggingEvent event) {
    IThrowableProxy thrown = event.getThrowableProxy();
    boolean unhandledHere = thrown != null && event.getFormattedMessage().startsWith(UNHANDLED);
    if (unhandledHere && !isOfEndedDaemon(thrown)) {
      unhandled.merge(describe(thrown), 1L, Long::sum);
    }
  }

  /**
   * Whether a timer or an answer reached code whose event loops are closing, which a daemon that is
   * ended as by a kill still lets happen in this process and a killed process cannot.
   */
  private static boolean isOfEndedDaemon(IThrowableProxy thrown) {
    return CLOSED_CLIENT.equals(thrown.getMessage())
        || RejectedExecutionException.class.getName().equals(thrown.getClassName());
  }

  private static String describe(IThrowableProxy thrown) {
    String place = "outside the project";
    for (var frame : thrown.getStackTraceElementProxyArray()) {
      if (frame.getStackTraceElement().getClassName().startsWith(PROJECT)) {
        place = frame.getStackTraceElement().toString();
        break;
      }
    }
    return "%s at %s".formatted(thrown.getClassName(), place);
  }
}
