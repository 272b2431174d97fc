package org.marjoramsail.daemon.forward;

/** Which request the identifier in a response names. */
public enum ResponseOrigin {
  /** The request for which the response came. */
  OWN("own"),
  /** Another request. */
  OTHER("other"),
  /** The response has no identifier. */
  NONE("none");

  private final String code;

  ResponseOrigin(String code) {
    this.code = code;
  }

  /** Returns the name in logs and metrics. */
  public String code() {
    return code;
  }

  /**
   * Returns the origin of a response.
   *
   * @param sent the identifier that the request bears; empty if it bears none
   * @param echoed the identifier that the response bears; empty if it bears none
   */
  static ResponseOrigin of(String sent, String echoed) {
    if (echoed.isEmpty()) {
      return NONE;
    }
    return echoed.equals(sent) ? OWN : OTHER;
  }
}
