package org.marjoramsail.standin.load;

import java.util.List;
import java.util.Optional;

/** Says what the stand-ins answer, so that each answer can be checked. */
public interface ExpectedResponse {

  /** The texts of the tokens of a request's whole completion, in their order. */
  List<String> completion(PlannedRequest request);

  /**
   * Whether a plain service's body answers just this request.
   *
   * @param requestId the identifier that the daemon gave the request, if it said so
   */
  boolean isPlainAnswer(PlannedRequest request, Optional<String> requestId, String body);
}
