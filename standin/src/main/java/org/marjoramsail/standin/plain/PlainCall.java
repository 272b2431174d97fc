package org.marjoramsail.standin.plain;

import io.vertx.core.http.HttpServerResponse;
import java.util.Optional;

/** One request that the service has accepted. */
record PlainCall(
    Optional<String> request,
    Optional<String> reference,
    Optional<PlainFault> fault,
    HttpServerResponse response) {

  /** Whether its client still waits. */
  boolean isWanted() {
    return !response.closed();
  }
}
