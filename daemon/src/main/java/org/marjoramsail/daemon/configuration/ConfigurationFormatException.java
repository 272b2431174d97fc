package org.marjoramsail.daemon.configuration;

import org.marjoramsail.core.failure.MarjoramsailException;

/** A JSON text that is not of the form that a configuration or a change must have. */
public final class ConfigurationFormatException extends MarjoramsailException {

  private static final long serialVersionUID = 1L;

  private final String path;

  /**
   * Creates an instance with where the text is wrong.
   *
   * @param path the field, from the outermost inwards
   * @param detail what is there and what is allowed
   */
  public ConfigurationFormatException(String path, String detail, Throwable cause) {
    super((path.isEmpty() ? "The text" : path) + ": " + detail, cause);
    this.path = path;
  }

  /** The field that is wrong, from the outermost inwards; empty for the whole text. */
  public String path() {
    return path;
  }
}
