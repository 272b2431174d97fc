package org.marjoramsail.daemon.forward;

import io.vertx.core.http.HttpServerResponse;
import java.util.function.BooleanSupplier;

/** Adds {@code connection: close} to responses while this daemon stops. */
final class ConnectionCloseHeader {

  private final BooleanSupplier stopping;

  ConnectionCloseHeader(BooleanSupplier stopping) {
    this.stopping = stopping;
  }

  void addIfStopping(HttpServerResponse response) {
    if (stopping.getAsBoolean()) {
      response.putHeader("connection", "close");
    }
  }
}
