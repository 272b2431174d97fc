package org.marjoramsail.daemon.platform;

/**
 * How the object API is called.
 *
 * @param address the IP number of the platform
 * @param port its TCP port
 * @param connectTimeoutMillis how long a connection may take, the wait for a free one included
 * @param answerTimeoutMillis how long an answer may take
 * @param connections how many calls may be under way at once; watches have connections of their own
 * @param watchSeconds how long the platform is asked to keep a watch open
 */
public record HttpObjectApiSettings(
    String address,
    int port,
    int connectTimeoutMillis,
    long answerTimeoutMillis,
    int connections,
    long watchSeconds) {

  /** Short waits for a platform that answers in milliseconds. */
  public static HttpObjectApiSettings defaults(String address, int port) {
    return new HttpObjectApiSettings(address, port, 1_000, 3_000, 16, 300);
  }
}
