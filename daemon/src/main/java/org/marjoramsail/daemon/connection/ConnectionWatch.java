package org.marjoramsail.daemon.connection;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandler;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.vertx.core.net.impl.ConnectionBase;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Closes a connection on which something arrives that no request waits for, or a response whose
 * head breaks the grammar.
 *
 * <p>Guards against bytes of one response that are read as the begin of the next one. The decoder
 * keeps a head that has not ended and reports nothing of it, so that the bytes are watched before
 * the decoder and the messages after it. Runs on the event loop of the connection.
 */
public final class ConnectionWatch {

  /** Receives why a connection is closed, at most once. */
  public interface Listener {
    /** Handles something that no request waits for. */
    void unrequested();

    /** Handles a response whose head breaks the grammar; its request fails with this cause. */
    void malformed(MalformedHeadException cause);
  }

  private static final Logger LOG = LoggerFactory.getLogger(ConnectionWatch.class);
  private static final int FIRST_FINAL_STATUS = 200;

  private static final String PROTOCOL = "HTTP/1.";

  /** As many bytes as a status line has up to the status. */
  private static final int MAXIMUM_FOLLOWING_BYTES = 12;

  private final Channel channel;

  /** The place of the client's own handler in the pipeline. */
  private final ChannelHandlerContext last;

  private final Listener listener;
  private final boolean isJoinedRefused;

  /** The buffer with the bytes that the decoder keeps until more arrive. */
  private Optional<ByteBuf> undecoded = Optional.empty();

  /** The buffer that the decoder reads. */
  private Optional<ByteBuf> decoding = Optional.empty();

  private boolean isReading;
  private boolean isDecoderUnknown;
  private JoinedBody body = new JoinedBody();
  private HeadGrammar grammar = new HeadGrammar();
  private JoinedChunk chunk = new JoinedChunk();
  private String following = "";
  private boolean isDue;
  private boolean isInterim;
  private boolean isOutOfStep;
  private boolean isDelivered = true;

  /** Whether the connection has ended, and the client was not told. */
  private boolean isEndKeptBack;

  private ConnectionWatch(ChannelHandlerContext last, Listener listener, boolean isJoinedRefused) {
    this.channel = last.channel();
    this.last = last;
    this.listener = listener;
    this.isJoinedRefused = isJoinedRefused;
  }

  /**
   * Watches a connection that carried nothing so far. Its user checks final responses for a {@link
   * JoinedHead} and a {@link JoinedBody}.
   */
  public static ConnectionWatch of(ConnectionBase connection, Listener listener) {
    return of(connection, listener, false);
  }

  /**
   * Watches a connection that carried nothing so far, and closes it on a {@link JoinedHead} and a
   * {@link JoinedBody}, too; the client receives no end of such a response.
   */
  static ConnectionWatch refusingJoined(ConnectionBase connection, Listener listener) {
    return of(connection, listener, true);
  }

  private static ConnectionWatch of(
      ConnectionBase connection, Listener listener, boolean isJoinedRefused) {
    ChannelHandlerContext last = connection.channelHandlerContext();
    ConnectionWatch watch = new ConnectionWatch(last, listener, isJoinedRefused);
    ReadLimiter.limit(last);
    last.pipeline().addFirst(watch.new Bytes());
    last.pipeline().addBefore(last.name(), null, watch.new Messages());
    return watch;
  }

  /** Expects a response from now on. */
  public void expectResponse() {
    isDue = true;
    grammar = new HeadGrammar();
    chunk = new JoinedChunk();
  }

  /**
   * Expects a response that may be paused. Once it was received whole, the end of the connection is
   * kept back until {@link #delivered}: the client drops what it has not passed on by then.
   */
  public void expectDelivery() {
    expectResponse();
    isDelivered = false;
  }

  /** Ends what {@link #expectDelivery} began: the response was read, or is not wanted any more. */
  public void delivered() {
    isDelivered = true;
    if (isOutOfStep) {
      ChannelFuture unused = channel.close();
    }
    if (isEndKeptBack) {
      isEndKeptBack = false;
      reportEnd();
    }
  }

  /** Calls the handler of the client itself: the pipeline of a closed channel has no handlers. */
  private void reportEnd() {
    try {
      ((ChannelInboundHandler) last.handler()).channelInactive(last);
    } catch (Exception failure) {
      LOG.warn("client failed to handle the end of a connection", failure);
    }
  }

  /**
   * Returns the first bytes that were received behind the latest response, a character each; empty
   * if there were none.
   */
  public String following() {
    return following;
  }

  /** Returns whether everything that was received belongs to responses that were due. */
  public boolean isInStep() {
    return channel.isActive()
        && !isOutOfStep
        && !isDue
        && following.isEmpty()
        && !isDecoderUnknown
        && undecoded.isEmpty();
  }

  /** Returns whether the operating system has taken everything that was written. */
  public boolean isWritten() {
    ChannelOutboundBuffer buffered = channel.unsafe().outboundBuffer();
    return buffered == null || buffered.isEmpty();
  }

  /** Returns whether bytes are being read, so that a nested read would change their order. */
  boolean isReading() {
    return isReading;
  }

  /**
   * Closes the connection, once a response that was received whole is delivered; nothing that
   * arrives on it counts any more.
   */
  void closeOutOfStep() {
    if (isOutOfStep) {
      return;
    }
    isOutOfStep = true;
    listener.unrequested();
    if (isKeptForDelivery()) {
      channel.config().setAutoRead(false);
    } else {
      ChannelFuture unused = channel.close();
    }
  }

  private boolean isKeptForDelivery() {
    return !isDue && !isDelivered;
  }

  private static String firstBytesOf(ByteBuf bytes) {
    int length = Math.min(bytes.readableBytes(), MAXIMUM_FOLLOWING_BYTES);
    return bytes.toString(bytes.readerIndex(), length, StandardCharsets.ISO_8859_1);
  }

  private void releaseUndecoded() {
    undecoded.ifPresent(ByteBuf::release);
    undecoded = Optional.empty();
  }

  /** Watches the bytes that the decoder receives. */
  private final class Bytes extends ChannelDuplexHandler {

    /** Reads nothing that would be dropped, although the client asks for more when it resumes. */
    @Override
    public void read(ChannelHandlerContext context) {
      if (!isOutOfStep) {
        context.read();
      }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
      isReading = false;
      context.fireChannelReadComplete();
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
      isReading = true;
      if (!(message instanceof ByteBuf bytes)) {
        context.fireChannelRead(message);
        return;
      }
      if (!isDue) {
        if (following.isEmpty()) {
          following = firstBytesOf(bytes);
        }
        bytes.release();
        closeOutOfStep();
        return;
      }
      try {
        grammar.check(bytes);
      } catch (MalformedHeadException cause) {
        bytes.release();
        closeMalformed(context, cause);
        return;
      }
      if (chunk.isJoinedBy(bytes)) {
        bytes.release();
        closeOutOfStep();
        return;
      }
      if (undecoded.isPresent()) {
        decodeMore(context, bytes, undecoded.get());
      } else {
        decode(context, bytes);
      }
      if (!isDue && (!following.isEmpty() || undecoded.isPresent())) {
        closeOutOfStep();
      }
    }

    /** Closes the connection before the decoder receives the line. */
    private void closeMalformed(ChannelHandlerContext context, MalformedHeadException cause) {
      if (!isOutOfStep) {
        isOutOfStep = true;
        listener.malformed(cause);
        context.fireExceptionCaught(cause);
        ChannelFuture unused = channel.close();
      }
    }

    /** The decoder keeps the buffer itself if it has kept nothing before. */
    private void decode(ChannelHandlerContext context, ByteBuf bytes) {
      bytes.retain();
      decoding = Optional.of(bytes);
      context.fireChannelRead(bytes);
      decoding = Optional.empty();
      if (bytes.isReadable()) {
        undecoded = Optional.of(bytes);
      } else {
        bytes.release();
      }
    }

    /** The decoder appends to the buffer that it keeps if that has room. */
    private void decodeMore(ChannelHandlerContext context, ByteBuf bytes, ByteBuf kept) {
      int added = bytes.readableBytes();
      kept.ensureWritable(added);
      int end = kept.writerIndex() + added;
      decoding = Optional.of(kept);
      context.fireChannelRead(bytes);
      decoding = Optional.empty();
      isDecoderUnknown |= kept.writerIndex() != end;
      if (isDecoderUnknown || !kept.isReadable()) {
        releaseUndecoded();
      }
    }

    @Override
    public void handlerRemoved(ChannelHandlerContext context) {
      releaseUndecoded();
    }
  }

  /** Returns whether the head of another response is a part of this one, which swallows it. */
  private static boolean isHeadJoined(HttpResponse response) {
    return response.status().reasonPhrase().contains(PROTOCOL)
        || response.headers().entries().stream()
            .anyMatch(header -> header.getValue().contains(PROTOCOL));
  }

  private boolean isFinalHeadRefused(HttpResponse response) {
    return isJoinedRefused
        && JoinedHead.isJoined(response.status().reasonPhrase(), response.headers());
  }

  /** Watches the messages that the decoder passes on. */
  private final class Messages extends ChannelInboundHandlerAdapter {

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      if (isKeptForDelivery()) {
        isEndKeptBack = true;
      } else {
        context.fireChannelInactive();
      }
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
      if (!isDue || isOutOfStep) {
        ReferenceCountUtil.release(message);
        closeOutOfStep();
        return;
      }
      if (message instanceof HttpResponse response) {
        isInterim = response.status().code() < FIRST_FINAL_STATUS;
        if (isInterim ? isHeadJoined(response) : isFinalHeadRefused(response)) {
          ReferenceCountUtil.release(message);
          closeOutOfStep();
          return;
        }
        body = new JoinedBody();
      }
      if (isJoinedRefused && message instanceof HttpContent content) {
        body.add(content.content());
      }
      if (isEnd(message)) {
        // The decoder passes on a message before it reads what follows.
        String next = decoding.map(ConnectionWatch::firstBytesOf).orElse("");
        if (isJoinedRefused && body.isContinuedBy(next)) {
          ReferenceCountUtil.release(message);
          closeOutOfStep();
          return;
        }
        isDue = false;
        following = next;
      }
      context.fireChannelRead(message);
    }

    /** What cannot be decoded comes as an end, too. */
    private boolean isEnd(Object message) {
      return message instanceof LastHttpContent last
          && !isInterim
          && last.decoderResult().isSuccess();
    }
  }
}
