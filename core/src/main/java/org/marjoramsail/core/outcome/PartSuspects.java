package org.marjoramsail.core.outcome;

import java.util.List;

/**
 * The parts of one request that may have crashed the upstream on which it ran.
 *
 * @param content fingerprint of the whole request
 * @param parts its shared parts that had not given output
 */
public record PartSuspects(long content, List<SharedPromptPart> parts) {

  /**
   * Maximum length of an identifier. Identifiers come from callers; longer ones would make messages
   * too large to be sent.
   */
  private static final int MAXIMUM_ID_CHARACTERS = 64;

  /** Copies the list, so that the record is immutable, and shortens long identifiers. */
  public PartSuspects {
    parts = parts.stream().map(PartSuspects::shortened).toList();
  }

  private static SharedPromptPart shortened(SharedPromptPart part) {
    return part.id().length() <= MAXIMUM_ID_CHARACTERS
        ? part
        : new SharedPromptPart(part.fingerprint(), part.id().substring(0, MAXIMUM_ID_CHARACTERS));
  }
}
