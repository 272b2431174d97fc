package org.marjoramsail.daemon.connection;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelConfig;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Limits the share of an event loop that the responses on one connection take.
 *
 * <p>Guards against responses in very small chunks, each of which costs as much as a large one:
 * what arrives in one read then occupies the event loop for as long as megabytes of other
 * responses. Chunks that are read together are merged before they are handled, and after a read
 * with many messages the next one waits. The sender is held back meanwhile; nothing is lost. Runs
 * on the event loop of the connection.
 */
final class ReadLimiter {

  /** Number of messages in a read after which the next one does not wait. */
  static final int UNLIMITED_MESSAGES = 1_024;

  /** Rate of messages beyond that, per millisecond. */
  static final int MESSAGES_PER_MILLI = 100;

  /** Maximum size of a chunk that is merged, in bytes: larger ones are not worth a copy. */
  private static final int MAXIMUM_MERGED_CHUNK_BYTES = 1_024;

  /** Size from which merged chunks are passed on, in bytes. */
  private static final int MERGED_BYTES = 16 << 10;

  private int decoded;

  private ReadLimiter() {}

  /**
   * Limits a connection.
   *
   * @param last the client's own handler in the pipeline, behind the decoder
   */
  static void limit(ChannelHandlerContext last) {
    ReadLimiter limiter = new ReadLimiter();
    last.pipeline().addFirst(limiter.new Reads());
    last.pipeline().addBefore(last.name(), null, limiter.new Messages());
  }

  /** Makes the read after one with many messages wait. */
  private final class Reads extends ChannelDuplexHandler {
    private boolean isWaiting;
    private boolean isReadWanted;
    private boolean wasReading;

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
      context.fireChannelRead(message);
      if (decoded > UNLIMITED_MESSAGES && !isWaiting) {
        isWaiting = true;
        isReadWanted = false;
        wasReading = context.channel().config().isAutoRead();
        // Ends the reads of this turn of the event loop.
        context.channel().config().setAutoRead(false);
      }
    }

    /**
     * Restores the setting for as long as the client handles the end of the read, when it may stop
     * reading for reasons of its own.
     */
    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
      int messages = decoded;
      decoded = 0;
      if (!isWaiting || messages <= UNLIMITED_MESSAGES) {
        context.fireChannelReadComplete();
        return;
      }
      ChannelConfig config = context.channel().config();
      config.setAutoRead(wasReading);
      isReadWanted = false;
      context.fireChannelReadComplete();
      wasReading = config.isAutoRead();
      config.setAutoRead(false);
      ScheduledFuture<?> unused =
          context
              .executor()
              .schedule(
                  () -> readOn(context), messages / MESSAGES_PER_MILLI, TimeUnit.MILLISECONDS);
    }

    @Override
    public void read(ChannelHandlerContext context) {
      if (isWaiting) {
        isReadWanted = true;
      } else {
        context.read();
      }
    }

    private void readOn(ChannelHandlerContext context) {
      isWaiting = false;
      ChannelConfig config = context.channel().config();
      if (wasReading && !config.isAutoRead()) {
        config.setAutoRead(true);
      } else if (isReadWanted) {
        context.channel().read();
      }
    }
  }

  /** Counts the messages of a read, and merges its small chunks. */
  private final class Messages extends ChannelInboundHandlerAdapter {
    private Optional<HttpContent> first = Optional.empty();
    private Optional<ByteBuf> merged = Optional.empty();

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
      decoded++;
      if (isSmallChunk(message)) {
        hold(context, (HttpContent) message);
      } else {
        passOn(context);
        context.fireChannelRead(message);
      }
    }

    private boolean isSmallChunk(Object message) {
      return message instanceof HttpContent chunk
          && !(message instanceof LastHttpContent)
          && chunk.decoderResult().isSuccess()
          && chunk.content().readableBytes() <= MAXIMUM_MERGED_CHUNK_BYTES;
    }

    /** A chunk that is read alone is passed on as it is. */
    private void hold(ChannelHandlerContext context, HttpContent chunk) {
      if (first.isEmpty()) {
        first = Optional.of(chunk);
        return;
      }
      if (merged.isEmpty()) {
        merged = Optional.of(context.alloc().heapBuffer());
        append(first.get());
      }
      append(chunk);
      if (merged.get().readableBytes() >= MERGED_BYTES) {
        passOn(context);
      }
    }

    private void append(HttpContent chunk) {
      merged.orElseThrow().writeBytes(chunk.content());
      chunk.release();
    }

    private void passOn(ChannelHandlerContext context) {
      if (first.isPresent()) {
        HttpContent chunk = merged.<HttpContent>map(DefaultHttpContent::new).orElseGet(first::get);
        first = Optional.empty();
        merged = Optional.empty();
        context.fireChannelRead(chunk);
      }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
      passOn(context);
      context.fireChannelReadComplete();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      passOn(context);
      context.fireChannelInactive();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      passOn(context);
      context.fireExceptionCaught(cause);
    }

    @Override
    public void handlerRemoved(ChannelHandlerContext context) {
      first.filter(chunk -> merged.isEmpty()).ifPresent(HttpContent::release);
      merged.ifPresent(ByteBuf::release);
      first = Optional.empty();
      merged = Optional.empty();
    }
  }
}
