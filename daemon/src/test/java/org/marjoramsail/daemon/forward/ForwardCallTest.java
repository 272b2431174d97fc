package org.marjoramsail.daemon.forward;

import static org.assertj.core.api.Assertions.assertThat;

import io.micrometer.core.instrument.DistributionSummary;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.MultiMap;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Supplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.marjoramsail.core.outcome.UpstreamFailure;
import org.marjoramsail.daemon.fixture.FakePlainService;
import org.marjoramsail.daemon.fixture.Waits;

/** What a call sends to its upstream, and when. */
final class ForwardCallTest {

  /** What ends a connection behind a complete response. */
  private enum Behind {
    STATUS_LINE("content-length: 4\r\n", "HTTP/1.1 200 ", false),
    RESPONSE("content-length: 4\r\n", "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n", false),
    END_OF_CONNECTION("content-length: 4\r\n", "", true),
    END_OF_CONNECTION_AND_BODY("", "", true);

    private final String response;
    private final boolean isEnded;

    Behind(String header, String extra, boolean isEnded) {
      this.response = "HTTP/1.1 200 OK\r\n" + header + "\r\nbody" + extra;
      this.isEnded = isEnded;
    }
  }

  private static final int PATIENCE_MILLIS = 20_000;

  private final Vertx vertx = Vertx.vertx();
  private final MeterRegistry meters = new SimpleMeterRegistry();
  private final ForwardCalls calls = new ForwardCalls(vertx, meters);

  @AfterEach
  void close() {
    Waits.get(vertx.close());
  }

  /** Guards against work for a caller that leaves while a connection is opened for its request. */
  @Test
  void nothingIsSentIfTheCallerLeavesWhileTheConnectionIsOpened() {
    FakePlainService upstream = new FakePlainService(vertx, "desk-1").start();
    AtomicReference<Optional<UpstreamFailure>> obstacle = new AtomicReference<>(Optional.empty());
    Promise<UpstreamFailure> failure = Promise.promise();
    Context context = vertx.getOrCreateContext();

    context.runOnContext(
        started -> {
          ForwardCall unused = call(upstream, obstacle::get, failure).start(ForwardCalls.headers());
          obstacle.set(Optional.of(UpstreamFailure.CALLER_LEFT));
        });

    assertThat(Waits.get(failure.future())).isEqualTo(UpstreamFailure.CALLER_LEFT);
    assertThat(upstream.runs()).isZero();
  }

  /** Guards against late requests to leaving upstreams whose cause no metric shows. */
  @Test
  void theAgeOfTheListIsRecordedWhenARequestIsWritten() {
    FakePlainService upstream = new FakePlainService(vertx, "desk-1").start();
    Promise<UpstreamFailure> ended = Promise.promise();

    vertx.runOnContext(
        started ->
            call(
                    calls.connections(),
                    upstream,
                    Optional::empty,
                    new ForwardCalls.EndListener(ended))
                .start(ForwardCalls.headers()));

    Waits.get(ended.future());
    DistributionSummary ages = meters.get("marjoramsail.upstream.calls.list.age.millis").summary();
    assertThat(ages.count()).isEqualTo(1);
    assertThat(ages.max()).isEqualTo(ForwardCalls.LIST_AGE_MILLIS);
  }

  /** Guards against limits that are charged for a call that was given up before its write. */
  @Test
  void aCallIsUnsentUntilItIsWritten() {
    FakePlainService upstream = new FakePlainService(vertx, "desk-1").start();
    Promise<Boolean> isUnsentWhileItConnects = Promise.promise();
    Promise<Boolean> isUnsentAfterItsResponse = Promise.promise();
    Promise<UpstreamFailure> ended = Promise.promise();
    Context context = vertx.getOrCreateContext();

    context.runOnContext(
        started -> {
          ForwardCall call =
              call(
                      calls.connections(),
                      upstream,
                      Optional::empty,
                      new ForwardCalls.EndListener(ended))
                  .start(ForwardCalls.headers());
          isUnsentWhileItConnects.complete(call.isUnsent());
          ended.future().onSuccess(done -> isUnsentAfterItsResponse.complete(call.isUnsent()));
        });

    assertThat(Waits.get(isUnsentWhileItConnects.future())).isTrue();
    assertThat(Waits.get(isUnsentAfterItsResponse.future())).isFalse();
  }

  /** Guards against new work on an upstream that drains while a connection to it is opened. */
  @Test
  void nothingIsSentIfTheUpstreamDrainsWhileItsConnectionIsOpened() {
    FakePlainService upstream = new FakePlainService(vertx, "desk-1").start();
    AtomicReference<Optional<UpstreamFailure>> obstacle = new AtomicReference<>(Optional.empty());
    Promise<UpstreamFailure> failure = Promise.promise();
    Context context = vertx.getOrCreateContext();

    context.runOnContext(
        started -> {
          ForwardCall unused = call(upstream, obstacle::get, failure).start(ForwardCalls.headers());
          obstacle.set(Optional.of(UpstreamFailure.NOT_ACCEPTING));
        });

    assertThat(Waits.get(failure.future())).isEqualTo(UpstreamFailure.NOT_ACCEPTING);
    assertThat(upstream.runs()).isZero();
  }

  /** Guards against a connection that is cut under the next request which uses it. */
  @Test
  void aCallThatIsClosedAfterItsResponseLeavesItsConnectionToTheNextOne() {
    FakePlainService upstream = new FakePlainService(vertx, "desk-1").start();
    UpstreamConnections connections = calls.connections();
    Promise<UpstreamFailure> ended = Promise.promise();
    Promise<Boolean> isOpen = Promise.promise();
    Promise<Long> earlierRequests = Promise.promise();
    Context context = vertx.getOrCreateContext();

    context.runOnContext(
        started -> {
          ForwardCall call =
              call(connections, upstream, Optional::empty, new ForwardCalls.EndListener(ended))
                  .start(ForwardCalls.headers());
          ended
              .future()
              .compose(done -> released(context))
              .compose(done -> connections.acquire(upstream.definition("desk"), "attempt-2"))
              .onSuccess(
                  next -> {
                    earlierRequests.complete(next.requests());
                    next.begin("attempt-2");
                    next.connection().closeHandler(closed -> isOpen.tryComplete(false));
                    call.close();
                    next.connection()
                        .request()
                        .compose(request -> request.send())
                        .onComplete(answered -> isOpen.tryComplete(answered.succeeded()));
                  });
        });

    assertThat(Waits.get(earlierRequests.future())).isEqualTo(1);
    assertThat(Waits.get(isOpen.future())).isTrue();
  }

  /** Guards against a complete response that is cut since its connection is closed meanwhile. */
  @ParameterizedTest
  @EnumSource
  void aCompleteResponseThatIsPausedEndsAfterItsConnectionIsClosed(Behind behind)
      throws IOException {
    try (PausedCall call = new PausedCall()) {
      call.receive(behind.response);
      if (behind.isEnded) {
        call.socket.shutdownOutput();
        readToEnd(call.socket);
      } else {
        call.untilUnrequested();
      }

      assertThat(call.resume()).isNull();
      assertThat(call.body).hasToString("body");
      readToEnd(call.socket);
    }
  }

  /** Guards against a cut body that is filled up to its length by the next response. */
  @Test
  void aPausedBodyThatAnotherResponseEndsIsNotComplete() throws IOException {
    String begin = "bo" + "HTTP/1.1 200";
    try (PausedCall call = new PausedCall()) {
      call.receive("HTTP/1.1 200 OK\r\ncontent-length: " + begin.length() + "\r\n\r\n" + begin);
      call.receive(" OK\r\ncontent-length: 0\r\n\r\n");
      call.untilUnrequested();

      assertThat(call.resume()).isEqualTo(UpstreamFailure.MALFORMED);
    }
  }

  /** A call that is paused at the head of its response, and the socket of its upstream. */
  private final class PausedCall implements AutoCloseable {
    private final Promise<UpstreamFailure> ended = Promise.promise();
    private final Promise<Void> paused = Promise.promise();
    private final StringBuilder body = new StringBuilder();
    private final UpstreamConnections connections = calls.connections();
    private final Context context = vertx.getOrCreateContext();
    private final AtomicReference<ForwardCall> call = new AtomicReference<>();
    private final ServerSocket server;
    private final Socket socket;

    PausedCall() throws IOException {
      server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
      server.setSoTimeout(PATIENCE_MILLIS);
      context.runOnContext(started -> start());
      socket = server.accept();
      socket.setSoTimeout(PATIENCE_MILLIS);
      socket.getInputStream().read();
    }

    private void start() {
      call.set(
          calls.call(
              connections,
              ForwardCalls.definition(server.getLocalPort()),
              Optional::empty,
              new PausingListener(this::pause, body, ended)));
      ForwardCall unused = call.get().start(ForwardCalls.headers());
    }

    private void pause() {
      call.get().pause();
      paused.complete();
    }

    /** Sends bytes of the upstream; returns once the call is paused. */
    void receive(String bytes) throws IOException {
      socket.getOutputStream().write(bytes.getBytes(StandardCharsets.ISO_8859_1));
      Waits.get(paused.future());
    }

    void untilUnrequested() {
      Waits.until(
          "the extra bytes are read",
          () -> Waits.get(later(context, connections::unrequested)) > 0);
    }

    /** Returns the failure of the call; null if it is complete. */
    UpstreamFailure resume() {
      context.runOnContext(read -> call.get().resume());
      return Waits.get(ended.future());
    }

    @Override
    public void close() throws IOException {
      socket.close();
      server.close();
    }
  }

  /** Reads until the other side has closed the connection. */
  private static void readToEnd(Socket socket) throws IOException {
    try {
      while (socket.getInputStream().read() >= 0) {
        // The rest of the request.
      }
    } catch (SocketException reset) {
      // The other side closes with a reset.
    }
  }

  /** Completes with a value that is read in a later turn of the event loop. */
  private static <T> Future<T> later(Context context, Supplier<T> value) {
    return released(context).map(turn -> value.get());
  }

  /** Guards against a response to one visit of a request that is taken for that to another. */
  @Test
  void aConnectionDoesNotCarryARequestTwice() {
    assertThat(earlierRequestsOnConnectionFor(ForwardCalls.ATTEMPT)).isZero();
  }

  /** Guards against a response without an identifier that could belong to an earlier request. */
  @Test
  void aRequestWithoutAnIdentifierTakesANewConnection() {
    assertThat(earlierRequestsOnConnectionFor("")).isZero();
  }

  /** Returns the number of requests on the connection that the next request takes. */
  private long earlierRequestsOnConnectionFor(String attempt) {
    FakePlainService upstream = new FakePlainService(vertx, "desk-1").start();
    UpstreamConnections connections = calls.connections();
    Promise<UpstreamFailure> ended = Promise.promise();
    Promise<Long> earlierRequests = Promise.promise();
    Context context = vertx.getOrCreateContext();

    context.runOnContext(
        started -> {
          ForwardCall unused =
              call(connections, upstream, Optional::empty, new ForwardCalls.EndListener(ended))
                  .start(ForwardCalls.headers());
          ended
              .future()
              .compose(done -> released(context))
              .compose(done -> connections.acquire(upstream.definition("desk"), attempt))
              .onSuccess(next -> earlierRequests.complete(next.requests()))
              .onFailure(earlierRequests::fail);
        });

    return Waits.get(earlierRequests.future());
  }

  /** Completes in a later turn of the event loop, after connections are released. */
  private static Future<Void> released(Context context) {
    Promise<Void> later = Promise.promise();
    context.runOnContext(passed -> later.complete());
    return later.future();
  }

  private ForwardCall call(
      FakePlainService upstream,
      Supplier<Optional<UpstreamFailure>> obstacle,
      Promise<UpstreamFailure> failure) {
    return call(calls.connections(), upstream, obstacle, new FailureListener(failure));
  }

  private ForwardCall call(
      UpstreamConnections connections,
      FakePlainService upstream,
      Supplier<Optional<UpstreamFailure>> obstacle,
      ForwardCall.Listener listener) {
    return calls.call(connections, upstream.definition("desk"), obstacle, listener);
  }

  /** Pauses a call at the head of its response; completes with the end of the response. */
  private record PausingListener(Runnable pause, StringBuilder body, Promise<UpstreamFailure> ended)
      implements ForwardCall.Listener {

    @Override
    public boolean head(int status, MultiMap headers) {
      pause.run();
      return true;
    }

    @Override
    public Optional<UpstreamFailure> bytes(Buffer bytes) {
      body.append(bytes);
      return Optional.empty();
    }

    @Override
    public void end() {
      ended.tryComplete();
    }

    @Override
    public void failed(UpstreamFailure reason) {
      ended.tryComplete(reason);
    }
  }

  /** Completes with the failure of a call; a response counts as a malformed one. */
  private record FailureListener(Promise<UpstreamFailure> failure) implements ForwardCall.Listener {

    @Override
    public boolean head(int status, MultiMap headers) {
      failed(UpstreamFailure.MALFORMED);
      return false;
    }

    @Override
    public Optional<UpstreamFailure> bytes(Buffer bytes) {
      return Optional.empty();
    }

    @Override
    public void end() {}

    @Override
    public void failed(UpstreamFailure reason) {
      failure.tryComplete(reason);
    }
  }
}
