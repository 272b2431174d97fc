package org.marjoramsail.core.outcome;

import java.util.List;

/**
 * The parts of one request that may have crashed the upstream on which it ran.
 *
 * @param content fingerprint of the whole request
 * @param parts its shared parts that had not given output
 */
public record PartSuspects(long content, List<SharedPromptPart> parts) {

  /** Copies the list, so that the record is immutable. */
  public PartSuspects {
    parts = List.copyOf(parts);
  }
}
