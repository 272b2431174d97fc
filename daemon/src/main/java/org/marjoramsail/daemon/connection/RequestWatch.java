package org.marjoramsail.daemon.connection;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.HttpRequest;
import io.vertx.core.http.HttpClientBuilder;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.net.impl.ConnectionBase;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Watches connections whose requests are written by a pool: each request that is written makes a
 * response due. A request that finds its connection out of step is not written, and fails; so does
 * one whose response has a {@link JoinedHead} or a {@link JoinedBody}.
 *
 * <p>For clients that do not pipeline.
 */
public final class RequestWatch {

  private static final Logger LOG = LoggerFactory.getLogger(RequestWatch.class);

  private final HttpConnection connection;
  private final ConnectionWatch watch;

  private RequestWatch(HttpConnection connection, ConnectionWatch watch) {
    this.connection = connection;
    this.watch = watch;
  }

  /**
   * Watches all connections of a client that is built.
   *
   * @param malformed counts the responses whose head breaks the grammar
   */
  public static HttpClientBuilder watchAll(
      HttpClientBuilder builder, MalformedHeadCounts malformed) {
    return builder.withConnectHandler(
        connection -> {
          RequestWatch unused = of(connection, malformed);
        });
  }

  /**
   * Watches a connection that carried nothing so far; called on its event loop.
   *
   * @param malformed counts the responses whose head breaks the grammar
   */
  public static RequestWatch of(HttpConnection connection, MalformedHeadCounts malformed) {
    // The connection may be a wrapper, of which the method returns the connection within.
    HttpConnection within = connection.exceptionHandler(ignored -> {});
    if (!(within instanceof ConnectionBase base)) {
      throw new IllegalArgumentException("connection without a channel: " + within);
    }
    RequestWatch watch =
        new RequestWatch(
            within, ConnectionWatch.refusingJoined(base, new Closes(within, malformed)));
    ChannelHandlerContext last = base.channelHandlerContext();
    last.pipeline().addBefore(last.name(), null, watch.new Requests());
    return watch;
  }

  /** Reads what has arrived, and returns whether it is open and in step after that. */
  public boolean isUsable() {
    return (watch.isReading() || ConnectionProbe.isOpen(connection)) && watch.isInStep();
  }

  /** Logs why a connection is closed. */
  private record Closes(HttpConnection connection, MalformedHeadCounts malformed)
      implements ConnectionWatch.Listener {

    @Override
    public void unrequested() {
      LOG.atInfo()
          .addKeyValue("peer", connection.remoteAddress())
          .addKeyValue("localPort", connection.localAddress().port())
          .log("connection closed on which something arrived that no request waits for");
    }

    @Override
    public void malformed(MalformedHeadException cause) {
      malformed.add(cause.rule());
      LOG.atInfo()
          .addKeyValue("peer", connection.remoteAddress())
          .addKeyValue("localPort", connection.localAddress().port())
          .addKeyValue("rule", cause.rule().code())
          .addKeyValue("line", cause.line())
          .log("connection closed on which a response broke the grammar");
    }
  }

  /** Watches the requests on their way to the encoder. */
  private final class Requests extends ChannelOutboundHandlerAdapter {

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise)
        throws Exception {
      if (message instanceof HttpRequest) {
        // The write fails on a connection that is closed.
        if (!isUsable() && context.channel().isActive()) {
          watch.closeOutOfStep();
        }
        watch.expectResponse();
      }
      super.write(context, message, promise);
    }
  }
}
