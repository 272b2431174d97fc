package org.marjoramsail.standin.load;

import java.util.List;

/** Says what the stand-ins answer, so that each answer can be checked. */
public interface ExpectedAnswer {

  /** The texts of the tokens of a request's whole completion, in their order. */
  List<String> completion(PlannedRequest request);

  /** Whether a plain service's body answers just this request. */
  boolean isPlainAnswer(PlannedRequest request, String body);
}
