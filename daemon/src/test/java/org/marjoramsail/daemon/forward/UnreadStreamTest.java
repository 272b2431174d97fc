package org.marjoramsail.daemon.forward;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Random;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.marjoramsail.core.failure.Refusal;
import org.marjoramsail.core.failure.RefusalReason;
import org.marjoramsail.daemon.fixture.Waits;

/** Callers that read nothing of a stream that has begun. */
final class UnreadStreamTest {

  private static final String ADDRESS = "127.0.0.1";
  private static final String REQUEST = "GET / HTTP/1.1\r\nhost: desk.example\r\n\r\n";
  private static final Buffer EVENT = Buffer.buffer("z".repeat(64 << 10));

  /** More than the buffers of a connection hold, with what may wait for a caller. */
  private static final int STREAM_BYTES = 256 << 20;

  private static final int BROKEN_OFF_BYTES = 64 << 20;

  private final Vertx vertx = Vertx.vertx();
  private final AtomicBoolean closed = new AtomicBoolean();

  @AfterEach
  void close() {
    Waits.get(vertx.close());
  }

  /** Guards against a caller that reads nothing, whose stream fills the memory. */
  @Test
  void theConnectionOfACallerThatReadsNothingIsClosed() throws IOException {
    AtomicLong written = new AtomicLong();

    whileNothingIsRead(
        request -> {
          request.response().setChunked(true);
          StreamOutput output = new StreamOutput(request);
          vertx.setPeriodic(1, timer -> writeEvent(output, written, timer));
        });

    assertThat(written.get()).isLessThan(STREAM_BYTES);
  }

  private void writeEvent(StreamOutput output, AtomicLong written, long timer) {
    if (closed.get() || written.get() >= STREAM_BYTES) {
      vertx.cancelTimer(timer);
    } else {
      output.write(EVENT);
      written.addAndGet(EVENT.length());
    }
  }

  /** Guards against a connection that stays open until a broken-off stream is read. */
  @Test
  void theConnectionOfAStreamThatIsBrokenOffIsClosedAlthoughNothingIsRead() throws IOException {
    RefusalWriter refusals =
        new RefusalWriter(
            null, new ObjectMapper(), new Random(7), new ConnectionCloseHeader(() -> false));

    whileNothingIsRead(
        request -> {
          request.response().setChunked(true);
          request.response().write(Buffer.buffer(new byte[BROKEN_OFF_BYTES]));
          refusals.write(
              request, "attempt-1", Refusal.unknown(RefusalReason.DEADLINE_PASSED, "Too late."));
        });
  }

  /** Sends a request and reads nothing; returns once the server has closed the connection. */
  private void whileNothingIsRead(Consumer<HttpServerRequest> handler) throws IOException {
    HttpServer server =
        Waits.get(
            vertx
                .createHttpServer()
                .connectionHandler(connection -> connection.closeHandler(ended -> closed.set(true)))
                .requestHandler(handler::accept)
                .listen(0, ADDRESS));
    try (Socket caller = new Socket(InetAddress.getLoopbackAddress(), server.actualPort())) {
      caller.getOutputStream().write(REQUEST.getBytes(StandardCharsets.ISO_8859_1));
      Waits.until("the connection is closed", closed::get);
    }
  }
}
