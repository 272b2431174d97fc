package org.marjoramsail.command.soak;

import org.marjoramsail.standin.load.RequestEnd;
import org.marjoramsail.standin.load.RequestOutcome;

/**
 * What came of a request, placed on the time of the run.
 *
 * @param baseMillis where on it the planned times of the request's own load begin
 * @param outcome what came of it
 */
record Observation(long baseMillis, RequestOutcome outcome) {

  long sentMillis() {
    return baseMillis + outcome.request().atMillis() + outcome.sentMillis();
  }

  long endMillis() {
    return baseMillis + outcome.request().atMillis() + outcome.endMillis();
  }

  boolean isCutWithKey() {
    return outcome.end() == RequestEnd.CUT && outcome.request().idempotencyKey().isPresent();
  }
}
