package org.marjoramsail.daemon.request;

import io.vertx.core.http.HttpServerRequest;
import org.marjoramsail.daemon.connection.ConnectionProbe;

/**
 * Presence of the caller of an HTTP request; probes its connection.
 *
 * @param request the request
 */
public record HttpCallerPresence(HttpServerRequest request) implements CallerPresence {

  @Override
  public boolean isPresent() {
    return ConnectionProbe.isOpen(request.connection()) && !request.response().closed();
  }
}
