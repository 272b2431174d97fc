package org.marjoramsail.daemon.caller;

import io.netty.channel.ChannelFuture;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.net.impl.ConnectionBase;

/**
 * Closes a connection at once, with all that still waits to be written to it.
 *
 * <p>Guards against the failure in which a reader takes nothing and the library's own close waits
 * for it: that close is queued behind the unread bytes, so the connection and its bytes stay for as
 * long as the reader likes, and the daemon cannot stop.
 */
final class ForcedClose {

  private ForcedClose() {}

  /** Closes; has no effect on a connection that is closed. */
  static void close(HttpConnection connection) {
    if (connection instanceof ConnectionBase base) {
      // Nothing can be done about a close that fails; the connection's own handlers hear the end.
      ChannelFuture unused = base.channelHandlerContext().close();
    } else {
      connection.close();
    }
  }
}
