package org.marjoramsail.daemon.connection;

import static java.nio.charset.StandardCharsets.US_ASCII;
import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.marjoramsail.daemon.fixture.Waits;

/** Responses in chunks of one byte. */
@Timeout(60)
final class ReadLimiterTest {

  private static final String ADDRESS = "127.0.0.1";
  private static final String HEAD = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
  private static final String CHUNK = "1\r\na\r\n";
  private static final int CHUNKS_PER_WRITE = 10_000;
  private static final int CHUNKS = 40_000;

  /** More chunks than are decoded in the reads of one turn of an event loop. */
  private static final int CHUNKS_PER_TURN = 2 * (64 << 10) / CHUNK.length();

  private static final int PAUSES = 20;
  private static final long MEASURED_MILLIS = 500;

  private final Vertx vertx = Vertx.vertx();
  private final HttpClient client =
      RequestWatch.watchAll(vertx.httpClientBuilder(), new MalformedHeadCounts()).build();

  @AfterEach
  void close() {
    Waits.get(vertx.close());
  }

  /** Guards against an event loop that is occupied by the chunks of one response. */
  @Test
  void aResponseWithoutEndTakesABoundedShareOfItsEventLoop() {
    int port = serve(ReadLimiterTest::writeWithoutEnd);
    AtomicLong chunks = new AtomicLong();
    Promise<Long> elapsedMillis = Promise.promise();
    long startNanos = System.nanoTime();

    respond(
        port,
        response -> {
          response.handler(bytes -> chunks.addAndGet(bytes.length()));
          vertx.setTimer(
              MEASURED_MILLIS,
              fired ->
                  elapsedMillis.complete(
                      TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos)));
        });

    long millis = Waits.get(elapsedMillis.future());
    assertThat(chunks.get())
        .isPositive()
        .isLessThan(millis * ReadLimiter.MESSAGES_PER_MILLI + CHUNKS_PER_TURN);
  }

  /** Guards against chunks that are lost where they are merged or held back. */
  @Test
  void aResponseIsReadWhole() {
    int port = serve(socket -> socket.write(CHUNK.repeat(CHUNKS) + "0\r\n\r\n"));
    Promise<Buffer> body = Promise.promise();

    respond(port, response -> response.body().onComplete(body));

    assertThat(Waits.get(body.future()).length()).isEqualTo(CHUNKS);
  }

  /** Guards against a response that is not read on since it was paused during a wait. */
  @Test
  void aResponseThatIsPausedAndResumedIsReadWhole() {
    int port = serve(socket -> socket.write(CHUNK.repeat(CHUNKS) + "0\r\n\r\n"));
    Promise<Long> received = Promise.promise();
    AtomicLong pauses = new AtomicLong();
    AtomicLong chunks = new AtomicLong();

    respond(
        port,
        response -> {
          response.handler(
              bytes -> {
                chunks.addAndGet(bytes.length());
                if (pauses.getAndIncrement() < PAUSES) {
                  response.pause();
                  vertx.setTimer(1, fired -> response.resume());
                }
              });
          response.endHandler(ended -> received.complete(chunks.get()));
        });

    assertThat(Waits.get(received.future())).isEqualTo(CHUNKS);
  }

  /** Guards against a client that has stopped reading and receives more after each wait. */
  @Test
  void aClientThatStopsReadingReceivesNothingAfterTheWait() {
    AtomicLong reads = new AtomicLong();
    EmbeddedChannel channel = limited(reads, false);

    channel.writeInbound(Unpooled.copiedBuffer(HEAD + CHUNK.repeat(CHUNKS), US_ASCII));
    reads.set(0);
    pass(channel);

    assertThat(reads).hasValue(0);
    channel.config().setAutoRead(true);
    assertThat(reads).hasValue(1);
  }

  /** Guards against a client that reads on and receives nothing more after a wait. */
  @Test
  void aClientThatReadsOnReceivesMoreAfterTheWaitOnly() {
    AtomicLong reads = new AtomicLong();
    EmbeddedChannel channel = limited(reads, true);

    channel.writeInbound(Unpooled.copiedBuffer(HEAD + CHUNK.repeat(CHUNKS), US_ASCII));
    assertThat(channel.config().isAutoRead()).isFalse();
    reads.set(0);
    channel.read();
    assertThat(reads).hasValue(0);
    pass(channel);

    assertThat(reads).hasValue(1);
    assertThat(channel.config().isAutoRead()).isTrue();
  }

  /** Returns a channel with a client that reads on, or stops reading, at the end of a read. */
  private static EmbeddedChannel limited(AtomicLong reads, boolean isReading) {
    EmbeddedChannel channel =
        new EmbeddedChannel(
            new HttpResponseDecoder(),
            new ChannelInboundHandlerAdapter() {
              @Override
              public void channelReadComplete(ChannelHandlerContext context) {
                context.channel().config().setAutoRead(isReading);
              }
            });
    ReadLimiter.limit(channel.pipeline().lastContext());
    channel
        .pipeline()
        .addFirst(
            new ChannelOutboundHandlerAdapter() {
              @Override
              public void read(ChannelHandlerContext context) throws Exception {
                reads.incrementAndGet();
                super.read(context);
              }
            });
    return channel;
  }

  /** Lets the time pass for which a read waits at most. */
  private static void pass(EmbeddedChannel channel) {
    channel.advanceTimeBy(CHUNKS / ReadLimiter.MESSAGES_PER_MILLI + 1, TimeUnit.MILLISECONDS);
    channel.runScheduledPendingTasks();
  }

  /** Guards against chunks that follow each other in the wrong order. */
  @Test
  void smallAndLargeChunksKeepTheirOrder() {
    String large = "b".repeat(3_000);
    String sent = CHUNK + CHUNK + "bb8\r\n" + large + "\r\n" + CHUNK + "0\r\n\r\n";
    int port = serve(socket -> socket.write(sent));
    Promise<Buffer> body = Promise.promise();

    respond(port, response -> response.body().onComplete(body));

    assertThat(Waits.get(body.future())).hasToString("aa" + large + "a");
  }

  private void respond(int port, Consumer<HttpClientResponse> handler) {
    vertx.runOnContext(
        begins ->
            client
                .request(HttpMethod.GET, port, ADDRESS, "/")
                .compose(request -> request.send())
                .onSuccess(handler::accept));
  }

  private int serve(Consumer<NetSocket> body) {
    NetServer server =
        vertx
            .createNetServer()
            .connectHandler(
                socket -> {
                  socket.exceptionHandler(reset -> {});
                  socket.handler(
                      request -> {
                        Future<Void> unused = socket.write(HEAD);
                        body.accept(socket);
                      });
                });
    return Waits.get(server.listen(0, ADDRESS)).actualPort();
  }

  private static void writeWithoutEnd(NetSocket socket) {
    socket.write(CHUNK.repeat(CHUNKS_PER_WRITE)).onSuccess(written -> writeWithoutEnd(socket));
  }
}
