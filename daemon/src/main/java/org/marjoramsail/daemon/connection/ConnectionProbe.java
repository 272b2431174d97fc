package org.marjoramsail.daemon.connection;

import io.netty.channel.Channel;
import io.netty.channel.nio.AbstractNioChannel.NioUnsafe;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.net.impl.ConnectionBase;

/**
 * Finds out whether the other side of a connection has closed it, as far as the operating system
 * knows.
 *
 * <p>An event loop reads each connection once a turn, and stops before the end of a connection that
 * waits behind other bytes. Until the next turn the connection counts as open, however long ago it
 * was closed.
 */
public final class ConnectionProbe {

  /** Maximum number of reads, which bounds the bytes that a probe takes from one connection. */
  private static final int MAXIMUM_READS = 4;

  private ConnectionProbe() {}

  /**
   * Reads what has arrived on a connection, and returns whether it is open after that. Called on
   * its event loop, and not by a handler of what it reads.
   */
  public static boolean isOpen(HttpConnection connection) {
    if (!(connection instanceof ConnectionBase base)) {
      return true;
    }
    Channel channel = base.channelHandlerContext().channel();
    if (channel.eventLoop().inEventLoop() && channel.unsafe() instanceof NioUnsafe socket) {
      read(channel, socket);
    }
    return channel.isActive();
  }

  private static void read(Channel channel, NioUnsafe socket) {
    int reads = 0;
    boolean hasMore = true;
    while (hasMore && channel.isActive() && reads < MAXIMUM_READS) {
      socket.read();
      reads++;
      hasMore = socket.recvBufAllocHandle().lastBytesRead() > 0;
    }
  }
}
