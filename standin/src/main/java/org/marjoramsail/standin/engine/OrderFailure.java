package org.marjoramsail.standin.engine;

import java.util.Locale;

/** Why an order that was taken was not carried out. */
enum OrderFailure {
  /** The weight store did not give the weights. */
  WEIGHTS_UNAVAILABLE,
  /** The engine crashed while it carried the order out. */
  CRASHED;

  /** The word in answers. */
  String code() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
