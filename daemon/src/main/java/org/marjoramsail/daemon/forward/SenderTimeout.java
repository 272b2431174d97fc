package org.marjoramsail.daemon.forward;

import io.netty.channel.ChannelOutboundBuffer;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.net.impl.ConnectionBase;
import org.marjoramsail.daemon.connection.ForcedClose;

/**
 * Closes the connection of a sender that neither sends nor reads anything for some time, while it
 * is waited for.
 *
 * <p>Guards against a daemon that stands still or is cut off, whose calls would be relayed without
 * end. Runs on one event loop.
 */
final class SenderTimeout {

  private static final long NONE = -1;

  private final Vertx vertx;
  private final HttpServerRequest request;
  private final long timeoutMillis;
  private long timer = NONE;

  /**
   * Creates an instance that does not wait yet.
   *
   * @param timeoutMillis time without progress after which the connection is closed, in
   *     milliseconds
   */
  SenderTimeout(Vertx vertx, HttpServerRequest request, long timeoutMillis) {
    this.vertx = vertx;
    this.request = request;
    this.timeoutMillis = timeoutMillis;
  }

  /** Waits for the sender from now on, unless it is waited for already. */
  void start() {
    if (timer == NONE) {
      long transferred = transferredBytes();
      timer = vertx.setTimer(timeoutMillis, fired -> expired(transferred));
    }
  }

  /** Ends the wait. */
  void cancel() {
    if (timer != NONE) {
      vertx.cancelTimer(timer);
      timer = NONE;
    }
  }

  private void expired(long transferredBefore) {
    timer = NONE;
    if (transferredBytes() == transferredBefore) {
      ForcedClose.close(request.connection());
    } else {
      start();
    }
  }

  /** Returns a number of bytes that grows with each one that was received or sent. */
  private long transferredBytes() {
    return request.bytesRead() + request.response().bytesWritten() - unsentBytes();
  }

  private long unsentBytes() {
    ConnectionBase connection = (ConnectionBase) request.connection();
    ChannelOutboundBuffer unsent =
        connection.channelHandlerContext().channel().unsafe().outboundBuffer();
    return unsent == null ? 0 : unsent.totalPendingWriteBytes() - unsent.currentProgress();
  }
}
