package org.marjoramsail.daemon.forward;

import static org.assertj.core.api.Assertions.assertThat;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.vertx.core.Context;
import io.vertx.core.MultiMap;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;
import java.util.function.Supplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.marjoramsail.core.outcome.UpstreamFailure;
import org.marjoramsail.daemon.fixture.Waits;

/** Connections on which an upstream responds to a long request before, or after, it has read it. */
@Timeout(120)
final class EarlyResponseTest {

  /** More than the buffers of a connection hold, even those that grow. */
  private static final int BODY_BYTES = 32 << 20;

  private static final int RECEIVE_BUFFER_BYTES = 64 << 10;
  private static final int SOME_BYTES = 5;
  private static final byte BODY_BYTE = '~';
  private static final String FIRST = "first";
  private static final String SECOND = "second";
  private static final int PATIENCE_MILLIS = 20_000;

  private final Vertx vertx = Vertx.vertx();
  private final Context context = vertx.getOrCreateContext();
  private final ForwardCalls calls = new ForwardCalls(vertx, new SimpleMeterRegistry());
  private final UpstreamConnections connections = calls.connections();
  private ServerSocket server;

  @BeforeEach
  void listen() throws IOException {
    server = new ServerSocket();
    server.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
    server.setSoTimeout(PATIENCE_MILLIS);
    server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
  }

  @AfterEach
  void close() throws IOException {
    server.close();
    Waits.get(vertx.close());
  }

  /** Guards against a request that waits behind, or is read as, the rest of another one's body. */
  @Test
  void aConnectionIsNotUsedAgainIfItsResponseEndsBeforeItsRequestIsWritten() throws IOException {
    StartedCall first = new StartedCall(FIRST, BODY_BYTES);
    try (Upstream upstream = new Upstream()) {
      upstream.readHead();
      upstream.readBody(SOME_BYTES);
      upstream.write(response(FIRST));
      Waits.get(first.ended.future());

      StartedCall second = new StartedCall(SECOND, SOME_BYTES);
      assertThat(second.localPort()).isNotEqualTo(upstream.remotePort());
      try (Upstream next = new Upstream()) {
        assertThat(next.remotePort()).isEqualTo(second.localPort());
        assertThat(next.readHead()).startsWith("POST /status HTTP/1.1\r\n").contains(SECOND);
        next.readBody(SOME_BYTES);
        next.write(response(SECOND));
        Waits.get(second.ended.future());
      }
      assertThat(upstream.readToEnd()).isLessThanOrEqualTo(BODY_BYTES - SOME_BYTES);
    }
  }

  /** Guards against a new connection for each request with a body. */
  @Test
  void aConnectionIsUsedAgainIfItsRequestIsWrittenBeforeItsResponse() throws IOException {
    StartedCall first = new StartedCall(FIRST, BODY_BYTES);
    try (Upstream upstream = new Upstream()) {
      upstream.readHead();
      upstream.readBody(BODY_BYTES);
      upstream.write(response(FIRST));
      Waits.get(first.ended.future());

      assertNextCallUses(upstream);
    }
  }

  /** Guards against a decision at the begin of a response, while its request is written. */
  @Test
  void aConnectionIsUsedAgainIfItsRequestIsWrittenBeforeTheEndOfItsResponse() throws IOException {
    StartedCall first = new StartedCall(FIRST, BODY_BYTES);
    try (Upstream upstream = new Upstream()) {
      upstream.readHead();
      upstream.readBody(SOME_BYTES);
      String response = response(FIRST);
      upstream.write(response.substring(0, response.length() - 1));
      Waits.get(first.begun.future());
      upstream.readBody(BODY_BYTES - SOME_BYTES);
      upstream.write(response.substring(response.length() - 1));
      Waits.get(first.ended.future());

      assertNextCallUses(upstream);
    }
  }

  /** Guards against a long request that is written to its end although its call was given up. */
  @Test
  void aLongRequestThatWasGivenUpIsNotWrittenToItsEnd() throws IOException {
    StartedCall first = new StartedCall(FIRST, BODY_BYTES);
    try (Upstream upstream = new Upstream()) {
      upstream.readHead();
      upstream.readBody(SOME_BYTES);
      inContext(
          () -> {
            first.call.close();
            return true;
          });

      assertThat(upstream.readToEnd()).isLessThan(BODY_BYTES / 2);
    }
  }

  /** Guards against a connection that stays open until the rest of its request is read. */
  @Test
  void aConnectionIsClosedAtOnceIfItsResponseEndsBeforeItsRequestIsWritten() throws IOException {
    StartedCall first = new StartedCall(FIRST, BODY_BYTES);
    try (Upstream upstream = new Upstream()) {
      upstream.readHead();
      upstream.readBody(SOME_BYTES);
      upstream.write(response(FIRST));
      Waits.get(first.ended.future());

      assertThat(upstream.readToEnd()).isLessThan(BODY_BYTES / 2);
    }
  }

  private void assertNextCallUses(Upstream upstream) throws IOException {
    StartedCall second = new StartedCall(SECOND, SOME_BYTES);
    assertThat(second.localPort()).isEqualTo(upstream.remotePort());
    assertThat(upstream.readHead()).startsWith("POST /status HTTP/1.1\r\n").contains(SECOND);
    upstream.readBody(SOME_BYTES);
    upstream.write(response(SECOND));
    Waits.get(second.ended.future());
  }

  /** Returns a value that is read on the event loop. */
  private <T> T inContext(Supplier<T> value) {
    Promise<T> read = Promise.promise();
    context.runOnContext(turn -> read.complete(value.get()));
    return Waits.get(read.future());
  }

  private static byte[] body(int bytes) {
    byte[] body = new byte[bytes];
    Arrays.fill(body, BODY_BYTE);
    return body;
  }

  private static String response(String attempt) {
    return "HTTP/1.1 200 OK\r\n"
        + ForwardCalls.ATTEMPT_HEADER
        + ": "
        + attempt
        + "\r\ncontent-length: 4\r\n\r\nbody";
  }

  /** A call to the upstream, started in a turn of the event loop after those before. */
  private final class StartedCall {
    private final Promise<Void> begun = Promise.promise();
    private final Promise<UpstreamFailure> ended = Promise.promise();
    private final ForwardCall call;

    StartedCall(String attempt, int bodyBytes) {
      MultiMap headers = ForwardCalls.headers().add(ForwardCalls.ATTEMPT_HEADER, attempt);
      call =
          calls.call(
              connections,
              ForwardCalls.definition(server.getLocalPort()),
              Buffer.buffer(body(bodyBytes)),
              Optional::empty,
              new BeginListener(begun, new ForwardCalls.EndListener(ended)));
      context.runOnContext(
          started -> {
            ForwardCall unused = call.start(headers);
          });
    }

    /** Returns the port of the connection to which the request is written. */
    int localPort() {
      Waits.until("the request is written", () -> inContext(call::isWritten));
      return inContext(call::localPort);
    }
  }

  /** Completes with the head of a response, and leaves the rest to another listener. */
  private record BeginListener(Promise<Void> begun, ForwardCall.Listener rest)
      implements ForwardCall.Listener {

    @Override
    public boolean head(int status, MultiMap headers) {
      begun.tryComplete();
      return rest.head(status, headers);
    }

    @Override
    public Optional<UpstreamFailure> bytes(Buffer bytes) {
      return rest.bytes(bytes);
    }

    @Override
    public void end() {
      rest.end();
    }

    @Override
    public void failed(UpstreamFailure reason) {
      rest.failed(reason);
    }
  }

  /** The upstream's side of the next connection. */
  private final class Upstream implements AutoCloseable {
    private final Socket socket;
    private final DataInputStream input;

    Upstream() throws IOException {
      socket = server.accept();
      socket.setSoTimeout(PATIENCE_MILLIS);
      input = new DataInputStream(socket.getInputStream());
    }

    int remotePort() {
      return socket.getPort();
    }

    /** Reads up to the empty line. */
    String readHead() throws IOException {
      StringBuilder head = new StringBuilder();
      while (head.indexOf("\r\n\r\n") < 0) {
        head.append((char) input.readUnsignedByte());
      }
      return head.toString();
    }

    void readBody(int bytes) throws IOException {
      assertThat(input.readNBytes(bytes)).isEqualTo(body(bytes));
    }

    /** Returns the number of bytes that are left until the other side has closed. */
    int readToEnd() throws IOException {
      byte[] bytes = new byte[RECEIVE_BUFFER_BYTES];
      int all = 0;
      try {
        int read = input.read(bytes);
        while (read >= 0) {
          all += read;
          read = input.read(bytes);
        }
      } catch (SocketException reset) {
        // The other side closes with a reset.
      }
      return all;
    }

    void write(String bytes) throws IOException {
      socket.getOutputStream().write(bytes.getBytes(StandardCharsets.ISO_8859_1));
    }

    @Override
    public void close() throws IOException {
      socket.close();
    }
  }
}
