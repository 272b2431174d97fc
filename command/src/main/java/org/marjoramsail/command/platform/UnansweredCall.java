package org.marjoramsail.command.platform;

import java.util.Locale;

/**
 * A call that ended without a complete response.
 *
 * @param request the identifier of the request
 * @param host the host of the daemon
 * @param phase what the daemon did at the time
 * @param reason how far it had come
 * @param signalMillis when the daemon was told to stop or to reload, zero for a calm one
 * @param sentMillis when the call was sent
 * @param lastedMillis time until its end
 * @param cause what the caller saw
 */
public record UnansweredCall(
    String request,
    String host,
    Phase phase,
    Reason reason,
    long signalMillis,
    long sentMillis,
    long lastedMillis,
    String cause) {

  /** What a daemon does while a call ends without a complete response. */
  public enum Phase {
    /** It was told to stop. */
    STOP,
    /** It was told to read its settings again. */
    RELOAD,
    /** It was told neither. */
    CALM;

    /** Returns the name by which reports call it. */
    public String code() {
      return name().toLowerCase(Locale.ROOT);
    }
  }

  /** How far a call without a complete response had come. */
  public enum Reason {
    /** It had reached a server. */
    PASSED_ON(true),
    /** It had reached no server, and was sent long enough before its end to be read. */
    NOT_PASSED_ON(true),
    /** It had reached no server, and was sent shortly before its connection ended. */
    CROSSED(false),
    /** It had reached no server, behind a response that announced the close of its connection. */
    BEHIND_CLOSE(false);

    private final boolean lost;

    Reason(boolean lost) {
      this.lost = lost;
    }

    /** Returns whether the daemon lost the call. */
    public boolean isLost() {
      return lost;
    }

    /** Returns the name by which reports call it. */
    public String code() {
      return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
  }

  @Override
  public String toString() {
    String since =
        phase == Phase.CALM
            ? "a calm daemon"
            : phase.code() + ", sent " + (sentMillis - signalMillis) + " ms after its signal";
    return "%s at %s (%s) %s, ended after %d ms: %s"
        .formatted(request, host, since, reason.code(), lastedMillis, cause);
  }
}
