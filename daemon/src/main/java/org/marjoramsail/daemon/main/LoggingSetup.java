package org.marjoramsail.daemon.main;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.encoder.Encoder;
import org.marjoramsail.daemon.settings.LogFormat;
import org.marjoramsail.daemon.settings.LoggingSettings;
import org.slf4j.LoggerFactory;

/**
 * Configures Logback from the settings; lines go to standard output, without ever waiting for it.
 */
final class LoggingSetup {

  private LoggingSetup() {}

  static void apply(LoggingSettings settings) {
    LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
    context.reset();
    ConsoleAppender<ILoggingEvent> appender =
        console(context, "System.out", encoderOf(settings.format()));
    Logger root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
    root.setLevel(Level.toLevel(settings.level().name()));
    BoundedAppender bounded = new BoundedAppender();
    bounded.setContext(context);
    bounded.setName("bounded");
    bounded.addAppender(appender);
    bounded.start();
    root.addAppender(bounded);
    // Netty logs each of its probes of the machine at this level.
    context.getLogger("io.netty").setLevel(Level.WARN);
    // It says at each start that it drew a number; nothing here depends on that number.
    context.getLogger("io.netty.util.internal.MacAddressUtil").setLevel(Level.ERROR);
    // A connection that a caller or an upstream resets is told by the request that it carried.
    context.getLogger("io.vertx.core.net.impl.ConnectionBase").setLevel(Level.OFF);
  }

  /** Writes what is queued, for a moment at most. */
  static void close() {
    ((LoggerContext) LoggerFactory.getILoggerFactory()).stop();
  }

  /** An appender that writes to one of the process's outputs; it is started. */
  static ConsoleAppender<ILoggingEvent> console(
      LoggerContext context, String target, Encoder<ILoggingEvent> encoder) {
    encoder.setContext(context);
    encoder.start();
    ConsoleAppender<ILoggingEvent> appender = new ConsoleAppender<>();
    appender.setContext(context);
    appender.setName(target);
    appender.setTarget(target);
    appender.setEncoder(encoder);
    appender.start();
    return appender;
  }

  private static Encoder<ILoggingEvent> encoderOf(LogFormat format) {
    return format == LogFormat.JSON ? new JsonLineEncoder() : new TextLineEncoder();
  }
}
