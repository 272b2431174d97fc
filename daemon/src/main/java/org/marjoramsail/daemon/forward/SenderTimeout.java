package org.marjoramsail.daemon.forward;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpConnection;
import org.marjoramsail.daemon.connection.ForcedClose;

/**
 * Closes the connection of a sender that takes too long to send its call or to read the response.
 *
 * <p>Guards against a daemon that stands still or is cut off, whose calls would be relayed without
 * end. Runs on one event loop.
 */
final class SenderTimeout {

  private static final long NONE = -1;

  private final Vertx vertx;
  private final HttpConnection sender;
  private final long timeoutMillis;
  private long timer = NONE;

  SenderTimeout(Vertx vertx, HttpConnection sender, long timeoutMillis) {
    this.vertx = vertx;
    this.sender = sender;
    this.timeoutMillis = timeoutMillis;
  }

  /** Waits for the sender from now on, unless it is waited for already. */
  void start() {
    if (timer == NONE) {
      timer = vertx.setTimer(timeoutMillis, fired -> ForcedClose.close(sender));
    }
  }

  /** Ends the wait, as the sender has sent or read something. */
  void cancel() {
    if (timer != NONE) {
      vertx.cancelTimer(timer);
      timer = NONE;
    }
  }
}
