package org.marjoramsail.daemon.connection;

import io.vertx.core.http.HttpServerOptions;

/** Options that all HTTP servers of a daemon share. */
public final class ServerOptions {

  private ServerOptions() {}

  /**
   * Returns the options of a server of HTTP/1.1. An offer to upgrade is declined by a response in
   * HTTP/1.1; the library accepts offers of HTTP/2 by default, whose requests have no host header.
   * With HTTP/2 it would also report a connection only after its first bytes, so that connections
   * which send nothing would be neither counted nor closed.
   */
  public static HttpServerOptions http1() {
    return new HttpServerOptions().setHttp2ClearTextEnabled(false);
  }
}
