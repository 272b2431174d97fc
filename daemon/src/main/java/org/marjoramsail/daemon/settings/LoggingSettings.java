package org.marjoramsail.daemon.settings;

/**
 * What is logged and how.
 *
 * @param level the least severe lines that are logged
 * @param format how a line looks
 */
public record LoggingSettings(LogLevel level, LogFormat format) {

  /** The logging of a daemon whose settings name none. */
  public static final LoggingSettings DEFAULT = new LoggingSettings(LogLevel.INFO, LogFormat.TEXT);
}
