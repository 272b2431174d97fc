package org.marjoramsail.daemon.connection;

import static org.assertj.core.api.Assertions.assertThat;

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
