package org.marjoramsail.daemon.connection;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.DuplexChannel;
import io.netty.util.ReferenceCountUtil;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.net.impl.VertxConnection;

/**
 * Closes a connection after its last response, and discards what its caller still sends.
 *
 * <p>Guards against a response that does not reach its caller: a close with unread bytes resets the
 * connection, and the operating system drops what it has not yet delivered.
 */
public final class OrderlyClose {

  /** Time in which the caller reads the response and closes its side. */
  private static final long LINGER_MILLIS = 1_000;

  private OrderlyClose() {}

  /** Closes a connection once everything is written to it; called on its event loop. */
  public static void close(Vertx vertx, HttpConnection connection) {
    if (!(connection instanceof VertxConnection open)) {
      connection.close();
      return;
    }
    Promise<Void> written = Promise.promise();
    open.writeToChannel(Unpooled.EMPTY_BUFFER, written);
    written.future().onComplete(done -> linger(vertx, open.channelHandlerContext()));
  }

  private static void linger(Vertx vertx, ChannelHandlerContext context) {
    Channel channel = context.channel();
    if (!(channel instanceof DuplexChannel duplex) || !channel.isActive()) {
      closeNow(channel);
      return;
    }
    ChannelFuture unused = duplex.shutdownOutput();
    context.pipeline().addFirst(new Discard());
    channel.config().setAutoRead(true);
    vertx.setTimer(LINGER_MILLIS, passed -> closeNow(channel));
  }

  private static void closeNow(Channel channel) {
    ChannelFuture unused = channel.close();
  }

  /** Discards all bytes that are read, so that no request in them is begun. */
  private static final class Discard extends ChannelInboundHandlerAdapter {
    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
      ReferenceCountUtil.release(message);
    }
  }
}
