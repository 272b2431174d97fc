package org.marjoramsail.daemon.settings;

import java.util.List;

/**
 * Who may use the administration interface.
 *
 * @param tokens the known tokens; with none, the interface refuses everybody
 * @param requestsPerSecond how many requests one token may send in a second
 * @param bodyBytes the longest body of a request
 */
public record AdministrationSettings(
    List<OperatorToken> tokens, int requestsPerSecond, int bodyBytes) {

  private static final int REQUESTS_PER_SECOND = 20;
  private static final int BODY_BYTES = 1 << 20;

  /** The administration interface of a daemon whose settings name none. */
  public static final AdministrationSettings DEFAULT =
      new AdministrationSettings(List.of(), REQUESTS_PER_SECOND, BODY_BYTES);

  /** Copies the list, so that the value cannot change. */
  public AdministrationSettings {
    tokens = List.copyOf(tokens);
  }

  /** The same limits with other tokens. */
  public AdministrationSettings withTokens(List<OperatorToken> others) {
    return new AdministrationSettings(others, requestsPerSecond, bodyBytes);
  }
}
