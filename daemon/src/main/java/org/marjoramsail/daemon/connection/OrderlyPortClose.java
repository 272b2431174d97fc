package org.marjoramsail.daemon.connection;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.AbstractNioChannel.NioUnsafe;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * Closes a listening channel after all connections in its accept queue are accepted.
 *
 * <p>Guards against callers without a response: the operating system resets the connections that
 * are in the queue when the port closes. A channel that is closed while it is registered with a
 * selector continues to listen until the selector's next pass, so it is deregistered first, and
 * only connections that arrive between the last look at the queue and the close are reset. Runs on
 * the event loop of the channel.
 */
final class OrderlyPortClose extends ChannelInboundHandlerAdapter {

  /** Time after which the selector has released the channel: tasks that wait run after its pass. */
  private static final long RELEASE_MILLIS = 1;

  /** Maximum number of reads, so that a flood of connections cannot keep the port open. */
  private static final int MAXIMUM_READS = 4_096;

  private final Channel listening;
  private final NioUnsafe unsafe;
  private boolean accepted;

  private OrderlyPortClose(Channel listening, NioUnsafe unsafe) {
    this.listening = listening;
    this.unsafe = unsafe;
  }

  /** Closes a channel; may be called on any thread. */
  static ChannelFuture close(Channel listening) {
    if (!(listening.unsafe() instanceof NioUnsafe unsafe)) {
      return listening.close();
    }
    EventLoop acceptor = listening.eventLoop();
    OrderlyPortClose close = new OrderlyPortClose(listening, unsafe);
    listening
        .deregister()
        .addListener(
            released -> {
              Future<?> unused =
                  acceptor.schedule(close::finish, RELEASE_MILLIS, TimeUnit.MILLISECONDS);
            });
    return listening.closeFuture();
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object connection) {
    accepted = true;
    context.fireChannelRead(connection);
  }

  private void finish() {
    if (listening.isOpen()) {
      listening.pipeline().addFirst(this);
      acceptAll();
      ChannelFuture unused = listening.close();
    }
  }

  /** Accepts connections until the queue is empty or cannot be read. */
  private void acceptAll() {
    int reads = 0;
    do {
      accepted = false;
      unsafe.read();
      reads++;
    } while (accepted && reads < MAXIMUM_READS);
  }
}
