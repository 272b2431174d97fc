package org.marjoramsail.daemon.connection;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.AbstractNioChannel.NioUnsafe;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Closes a listening channel after all connections in its accept queue are accepted.
 *
 * <p>Guards against callers without a response: the operating system resets the connections that
 * are in the queue when the port closes. A channel that is closed while it is registered with a
 * selector continues to listen until the selector's next pass, so it is deregistered first. The
 * socket is closed directly after the accept that finds the queue empty, by code that has run once
 * before: only connections that arrive between these two calls are reset, and a first call loads
 * classes for milliseconds. Runs on the event loop of the channel.
 */
final class OrderlyPortClose {

  private static final Logger LOG = LoggerFactory.getLogger(OrderlyPortClose.class);

  /** Time after which the selector has released the channel: tasks that wait run after its pass. */
  private static final long RELEASE_MILLIS = 1;

  /** Maximum number of accepts, so that a flood of connections cannot keep the port open. */
  private static final int MAXIMUM_ACCEPTS = 65_536;

  private final Channel listening;
  private final ServerSocketChannel socket;

  private OrderlyPortClose(Channel listening, ServerSocketChannel socket) {
    this.listening = listening;
    this.socket = socket;
  }

  /** Closes a channel; may be called on any thread. */
  static ChannelFuture close(Channel listening) {
    if (!(listening.unsafe() instanceof NioUnsafe unsafe)
        || !(unsafe.ch() instanceof ServerSocketChannel socket)) {
      return listening.close();
    }
    EventLoop acceptor = listening.eventLoop();
    OrderlyPortClose close = new OrderlyPortClose(listening, socket);
    listening
        .deregister()
        .addListener(
            released -> {
              Future<?> unused =
                  acceptor.schedule(close::finish, RELEASE_MILLIS, TimeUnit.MILLISECONDS);
            });
    return listening.closeFuture();
  }

  private void finish() {
    if (!listening.isOpen()) {
      return;
    }
    try {
      closeUnboundSocket();
      acceptAll();
      socket.close();
    } catch (IOException failure) {
      LOG.atWarn().setCause(failure).log("port was closed without all connections in its queue");
    }
    ChannelFuture unused = listening.close();
  }

  /** Runs the code of a close once, so that its classes are loaded when the port is closed. */
  private static void closeUnboundSocket() throws IOException {
    try (ServerSocketChannel unbound = ServerSocketChannel.open()) {
      unbound.configureBlocking(false);
    }
  }

  private void acceptAll() throws IOException {
    SocketChannel accepted = socket.accept();
    for (int accepts = 1; accepted != null; accepts++) {
      listening.pipeline().fireChannelRead(new NioSocketChannel(listening, accepted));
      accepted = accepts < MAXIMUM_ACCEPTS ? socket.accept() : null;
    }
  }
}
