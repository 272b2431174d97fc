package org.marjoramsail.core.outcome;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.marjoramsail.core.model.Repeatability;

/** Runs random orders of responses, failures, silences and repeats of one request. */
final class ResponseOfAttemptTest {

  private static final int MAXIMUM_CHOICE = 9_999;

  /** Guards against a response that is not that of the attempt that is delivered. */
  @Property(seed = "20261205")
  void theCallerGetsTheOutcomeOfOneAttempt(
      @ForAll @Size(min = 5, max = 60) List<@IntRange(max = MAXIMUM_CHOICE) Integer> choices,
      @ForAll boolean once,
      @ForAll boolean stream) {
    ObservedRequest request =
        new ObservedRequest(once ? Repeatability.AT_MOST_ONCE : Repeatability.IDEMPOTENT, stream);

    choices.forEach(request::step);

    request.finish();
  }

  /** Guards against a kept failure that is sent after a part of a stream. */
  @Test
  void aFailureThatWasKeptIsNotDeliveredAfterTheFirstTokenOfAnotherAttempt() {
    ObservedRequest request = new ObservedRequest(Repeatability.IDEMPOTENT, true);
    request.grant();
    request.failureResponse(1);
    request.grant();
    request.token(2);
    request.lost(2);

    request.finish();
  }

  /** Guards against the response of a second upstream that is appended to the stream of another. */
  @Test
  void aFailureResponseToAResumedStreamIsNotDeliveredAfterItsFirstToken() {
    ObservedRequest request = new ObservedRequest(Repeatability.IDEMPOTENT, true);
    request.grant();
    request.token(1);
    request.lost(1);
    request.passTime(1_500);
    request.grant();
    request.failureResponse(2);

    request.finish();
  }
}
