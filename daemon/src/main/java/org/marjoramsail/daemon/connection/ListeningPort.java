package org.marjoramsail.daemon.connection;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.net.impl.ConnectionBase;
import java.util.Optional;

/**
 * Port of an HTTP server, which can be closed before the server.
 *
 * <p>Guards against connections that are accepted while the server is shut down: the library closes
 * those that it has not yet handed to an event loop, and their callers get no response. Safe for
 * several threads.
 */
public final class ListeningPort {

  private final Vertx vertx;
  private Optional<Channel> channel = Optional.empty();
  private boolean closing;

  /** Creates a port that has accepted no connection. */
  public ListeningPort(Vertx vertx) {
    this.vertx = vertx;
  }

  /** Takes the port from the first connection that it has accepted. */
  public synchronized void accepted(HttpConnection connection) {
    if (channel.isEmpty() && connection instanceof ConnectionBase base) {
      channel = Optional.ofNullable(base.channelHandlerContext().channel().parent());
      if (closing && channel.isPresent()) {
        ChannelFuture unused = OrderlyPortClose.close(channel.get());
      }
    }
  }

  /**
   * Accepts the connections that the operating system has established, and none after them; those
   * that are accepted continue. A port without a connection closes after its first one.
   *
   * @return completes on the context of the caller
   */
  public synchronized Future<Void> close() {
    closing = true;
    if (channel.isEmpty()) {
      return Future.succeededFuture();
    }
    Context context = vertx.getOrCreateContext();
    Promise<Void> closed = Promise.promise();
    ChannelFuture unused =
        OrderlyPortClose.close(channel.get())
            .addListener(done -> context.runOnContext(ignored -> closed.complete()));
    return closed.future();
  }
}
