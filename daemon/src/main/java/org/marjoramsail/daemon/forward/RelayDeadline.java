package org.marjoramsail.daemon.forward;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServerRequest;
import org.marjoramsail.daemon.connection.ForcedClose;

/**
 * Closes the connection of a sender whose call goes on after its deadline.
 *
 * <p>Guards against a sender that is cut off while the upstream is silent: neither the end of its
 * connection nor a byte that it does not read shows that it has given its call up. Runs on one
 * event loop.
 */
final class RelayDeadline {

  private final Vertx vertx;
  private final long timer;

  /**
   * Creates an instance that waits from now on.
   *
   * @param millis time after which the connection is closed, in milliseconds
   */
  RelayDeadline(Vertx vertx, HttpServerRequest request, long millis) {
    this.vertx = vertx;
    this.timer = vertx.setTimer(millis, passed -> ForcedClose.close(request.connection()));
  }

  /** Cancels the timer; the connection stays open. */
  void cancel() {
    vertx.cancelTimer(timer);
  }
}
