package org.marjoramsail.standin.engine;

import java.net.URI;
import org.marjoramsail.core.failure.MarjoramsailException;

/** The weight store did not give the weights that an order named. */
final class WeightStoreException extends MarjoramsailException {

  private static final long serialVersionUID = 1L;

  private final URI store;
  private final int status;

  WeightStoreException(URI store, int status) {
    super("The weight store " + store + " answered " + status + " instead of 200.");
    this.store = store;
    this.status = status;
  }

  URI store() {
    return store;
  }

  int status() {
    return status;
  }
}
