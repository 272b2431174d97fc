package org.marjoramsail.daemon.forward;

/** What becomes of a connection after a response. */
enum ConnectionFate {
  /** Another request may use it. */
  REUSED("reused", false),
  /** The response belongs to another request, or does not show to which it belongs. */
  RESPONSE_UNBOUND("response-unbound", true),
  /** Request or response have no identifier, so that a later response cannot be told apart. */
  UNIDENTIFIED("unidentified", true),
  /** The response came before the request was written whole. */
  REQUEST_INCOMPLETE("request-incomplete", true),
  /** The end of the connection is the end of the response. */
  UNFRAMED("unframed", false),
  /** The upstream closes it, or does not state for how long it stays open. */
  CLOSED_BY_UPSTREAM("closed-by-upstream", false),
  /** It leads to a relay, and serves one call. */
  RELAYED("relayed", false);

  private final String code;
  private final boolean outOfStep;

  ConnectionFate(String code, boolean outOfStep) {
    this.code = code;
    this.outOfStep = outOfStep;
  }

  /** Returns the name in logs. */
  String code() {
    return code;
  }

  boolean isReused() {
    return this == REUSED;
  }

  /** Returns whether a further response on it could be taken for that of another request. */
  boolean isOutOfStep() {
    return outOfStep;
  }
}
