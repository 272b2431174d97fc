package org.marjoramsail.daemon.settings;

import java.util.Optional;

/**
 * Encryption towards callers and operators.
 *
 * @param caller the key of the port for callers; absent for plain text
 * @param operator the key of the port for operators; absent for plain text
 * @param reloadMillis how often changed files are looked for, in milliseconds; zero for never
 */
public record TlsSettings(
    Optional<KeyFiles> caller, Optional<KeyFiles> operator, long reloadMillis) {

  /**
   * A certificate and its key, both in PEM.
   *
   * @param certificate the path of the certificate chain
   * @param key the path of the private key
   */
  public record KeyFiles(String certificate, String key) {}
}
