package org.marjoramsail.daemon.upstream;

import io.vertx.core.http.HttpClientOptions;

/**
 * Options of HTTP clients that reset a connection to close it.
 *
 * <p>The operating system then discards what the other side has not received. After an orderly
 * close it would deliver a request that was given up on a path without connectivity, seconds after
 * the path is restored: to an upstream that drains by then, or as an order that a later one has
 * replaced.
 */
public final class AbortiveClose {

  private static final int LINGER_SECONDS = 0;

  private AbortiveClose() {}

  /** Returns options that differ from the defaults in this only. */
  public static HttpClientOptions options() {
    return new HttpClientOptions().setSoLinger(LINGER_SECONDS);
  }
}
