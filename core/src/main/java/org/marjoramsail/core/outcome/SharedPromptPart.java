package org.marjoramsail.core.outcome;

/**
 * A part of a prompt that requests may share, such as a document that several of them are about.
 *
 * @param fingerprint hash of the service, the organisation and the identifier, so that callers of
 *     different organisations never name the same part
 * @param id identifier of the part, as its caller names it
 */
public record SharedPromptPart(long fingerprint, String id) {

  /**
   * Creates the part for an identifier that callers of an organisation use in requests to a
   * service.
   */
  public static SharedPromptPart of(String service, String organisation, String id) {
    return new SharedPromptPart(Fingerprint.of(service + "\n" + organisation, id), id);
  }
}
