package org.marjoramsail.daemon.connection;

import io.netty.channel.ChannelFuture;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.net.impl.ConnectionBase;

/**
 * Closes a connection at once and discards the bytes that are not yet written to it.
 *
 * <p>Guards against a reader that reads nothing: the library queues its own close behind the unread
 * bytes, so that the connection stays open and the daemon cannot stop.
 */
public final class ForcedClose {

  private ForcedClose() {}

  /** Closes a connection; has no effect if it is already closed. */
  public static void close(HttpConnection connection) {
    if (connection instanceof ConnectionBase base) {
      // A failed close needs no handling; the close handler of the connection is called in any
      // case.
      ChannelFuture unused = base.channelHandlerContext().close();
    } else {
      connection.close();
    }
  }
}
