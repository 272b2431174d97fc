package org.marjoramsail.daemon.forward;

import static org.assertj.core.api.Assertions.assertThat;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.MultiMap;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.lang.reflect.Proxy;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.Supplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.marjoramsail.core.configuration.UpstreamDefinition;
import org.marjoramsail.core.model.Incarnation;
import org.marjoramsail.core.model.UpstreamName;
import org.marjoramsail.core.model.UpstreamRole;
import org.marjoramsail.daemon.assembly.SystemClock;
import org.marjoramsail.daemon.fixture.AcceptQueue;
import org.marjoramsail.daemon.fixture.FakePlainService;
import org.marjoramsail.daemon.fixture.Waits;

/** Calls that a daemon relays for others. */
final class RelayServerTest {

  private static final String BODY_BYTE = "z";

  /** More than the buffers of all connections on the way hold. */
  private static final int BODY_BYTES = 12 << 20;

  private static final int BODY_STEP_BYTES = 16 << 10;
  private static final int BODIES = 6;

  /** More than all buffers hold, even those that grow as the receiver reads nothing. */
  private static final int STALLING_BODY_BYTES = 64 << 20;

  private static final int READ_BYTES = 64 << 10;
  private static final long SHORT_TIMEOUT_MILLIS = 1_000;
  private static final long SHORT_DEADLINE_MILLIS = 200;
  private static final long OVERDUE_MILLIS = 100;
  private static final long UNSTATED_DEADLINE_MILLIS = 60_000;
  private static final long UNUSED_MILLIS = 60_000;

  /** Exceeds the time for which a busy machine stands still before it sends a first request. */
  private static final long SHORT_UNUSED_MILLIS = 1_500;

  /** Exceeds the time that a busy machine takes to respond. */
  private static final long MODERATE_DEADLINE_MILLIS = 2_000;

  private static final String DEADLINE = "test-deadline-millis";

  /** Exceeds the time for which a busy machine stands still between two bytes. */
  private static final long STEADY_TIMEOUT_MILLIS = 4_000;

  private static final int STEADY_BYTES = 12;
  private static final int PATIENCE_MILLIS = 20_000;
  private static final String LAST_CHUNK = "\r\n0\r\n\r\n";
  private static final int CALLS = 10;
  private static final String EXTRA = "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
  private static final String ADDRESS = "127.0.0.1";
  private static final String TOKEN = "token";
  private static final String CALL =
      "GET /status HTTP/1.1\r\nhost: desk.example\r\nconnection: close\r\n"
          + Relay.TOKEN
          + ": "
          + TOKEN
          + "\r\n"
          + Relay.UPSTREAM
          + ": desk-1\r\n\r\n";

  private final Vertx vertx = Vertx.vertx();
  private final Context loop = vertx.getOrCreateContext();

  /** Held, since a client that nothing references is closed, and its connections with it. */
  private final NetClient client = vertx.createNetClient();

  @AfterEach
  void close() {
    Waits.get(vertx.close());
  }

  /** Guards against work for a call whose sender has given it up before the relay reads it. */
  @Test
  void aCallThatWasGivenUpBeforeItIsReadIsNotSent() throws IOException {
    FakePlainService upstream = new FakePlainService(vertx, "desk-1").start();
    RelayServer relay = relay(upstream.definition("desk"));
    int port = start(relay);

    try (AcceptQueue queue = new AcceptQueue(vertx)) {
      queue.add(CALLS, port, CALL).leave().release();
      Waits.until("all are handled", () -> onLoop(relay::dropped) + upstream.runs() >= CALLS);
    }

    assertThat(upstream.runs()).isZero();
    Waits.until("no call is relayed", () -> onLoop(relay::running) == 0);
  }

  /** Guards against a sender that is taken for one that has given its call up. */
  @Test
  void aCallWhoseSenderWaitsIsSent() throws IOException {
    FakePlainService upstream = new FakePlainService(vertx, "desk-1").start();
    int port = start(relay(upstream.definition("desk")));

    try (AcceptQueue queue = new AcceptQueue(vertx)) {
      List<String> results = queue.add(1, port, CALL).release().results();

      assertThat(results).containsExactly("HTTP/1.1 200 OK");
    }
  }

  /** Guards against a complete response that is cut, as its sender reads it too slowly. */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void aCompleteResponseIsRelayedWholeToASlowSender(boolean isConnectionEnded) throws IOException {
    Queue<Integer> lengths = new ConcurrentLinkedQueue<>();
    for (int body = 0; body < BODIES; body++) {
      lengths.add(BODY_BYTES + body * BODY_STEP_BYTES);
    }
    List<Integer> expected = List.copyOf(lengths);
    NetServer upstream =
        vertx
            .createNetServer()
            .connectHandler(
                socket ->
                    socket.handler(
                        request -> respond(socket, lengths.remove(), isConnectionEnded)));
    RelayServer relay = relay(definition(Waits.get(upstream.listen(0, ADDRESS)).actualPort()));
    int port = start(relay);

    for (int length : expected) {
      String response = readSlowly(port);

      assertThat(response.chars().filter(read -> read == BODY_BYTE.charAt(0)).count())
          .isEqualTo(length);
      assertThat(response).endsWith(LAST_CHUNK);
    }
    Waits.until("no call is relayed", () -> onLoop(relay::running) == 0);
  }

  /** Guards against calls of a sender that stands still, which a relay would keep without end. */
  @Test
  void aCallWhoseSenderReadsNothingEnds() throws IOException {
    Promise<Void> upstreamClosed = Promise.promise();
    NetServer upstream =
        vertx
            .createNetServer()
            .connectHandler(
                socket -> {
                  socket.closeHandler(closed -> upstreamClosed.complete());
                  socket.handler(request -> respond(socket, STALLING_BODY_BYTES, false));
                });
    UpstreamDefinition target = definition(Waits.get(upstream.listen(0, ADDRESS)).actualPort());
    RelayServer relay = relay(target, SHORT_TIMEOUT_MILLIS);
    int port = start(relay);

    try (Socket sender = new Socket(InetAddress.getLoopbackAddress(), port)) {
      sender.getOutputStream().write(CALL.getBytes(StandardCharsets.ISO_8859_1));

      Waits.until("the call has ended", () -> hasEnded(relay));
      Waits.get(upstreamClosed.future());
    }
  }

  /** Guards against calls that are never sent whole, which a relay would keep without end. */
  @Test
  void aCallWhoseBodyIsNotSentEnds() throws IOException {
    FakePlainService upstream = new FakePlainService(vertx, "desk-1").start();
    RelayServer relay = relay(upstream.definition("desk"), SHORT_TIMEOUT_MILLIS);
    int port = start(relay);
    String post = CALL.replace("GET", "POST").replaceFirst("\r\n", "\r\ncontent-length: 2\r\n");

    try (Socket sender = new Socket(InetAddress.getLoopbackAddress(), port)) {
      sender.getOutputStream().write((post + "z").getBytes(StandardCharsets.ISO_8859_1));

      Waits.until("the call has ended", () -> hasEnded(relay));
      assertThat(sender.getInputStream().read()).isNegative();
    }
    assertThat(upstream.runs()).isZero();
  }

  /** Guards against calls of a sender that is cut off, which a relay would keep without end. */
  @ParameterizedTest
  @ValueSource(strings = {"", "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n" + BODY_BYTE})
  void aCallWhoseUpstreamIsSilentEndsAfterItsDeadline(String begunResponse) throws IOException {
    Promise<Void> upstreamClosed = Promise.promise();
    NetServer upstream =
        vertx
            .createNetServer()
            .connectHandler(
                socket -> {
                  socket.closeHandler(closed -> upstreamClosed.complete());
                  socket.handler(request -> socket.write(begunResponse));
                });
    UpstreamDefinition target = definition(Waits.get(upstream.listen(0, ADDRESS)).actualPort());
    RelayServer relay = relay(target);
    int port = start(relay);

    try (Socket sender = new Socket(InetAddress.getLoopbackAddress(), port)) {
      sender.getOutputStream().write(bytesOf(within(SHORT_DEADLINE_MILLIS)));

      Waits.until("the call has ended", () -> hasEnded(relay));
      Waits.get(upstreamClosed.future());
    }
  }

  /** Guards against a call without a deadline of a sender that is cut off. */
  @Test
  void aCallWithoutADeadlineEndsIfItsUpstreamIsSilent() throws IOException {
    NetServer upstream = vertx.createNetServer().connectHandler(socket -> {});
    UpstreamDefinition target = definition(Waits.get(upstream.listen(0, ADDRESS)).actualPort());
    RelayServer relay =
        relay(
            target,
            new RelayTimeouts(
                PATIENCE_MILLIS, OVERDUE_MILLIS, SHORT_DEADLINE_MILLIS, UNUSED_MILLIS));
    int port = start(relay);

    try (Socket sender = new Socket(InetAddress.getLoopbackAddress(), port)) {
      sender.getOutputStream().write(bytesOf(CALL));

      Waits.until("the call has ended", () -> hasEnded(relay));
    }
  }

  /** Guards against a call that is never sent whole, which would be waited for after its end. */
  @Test
  void aCallWhoseBodyIsNotSentUntilItsDeadlineEnds() throws IOException {
    FakePlainService upstream = new FakePlainService(vertx, "desk-1").start();
    RelayServer relay = relay(upstream.definition("desk"));
    int port = start(relay);
    String post =
        within(SHORT_DEADLINE_MILLIS)
            .replace("GET", "POST")
            .replaceFirst("\r\n", "\r\ncontent-length: 2\r\n");

    try (Socket sender = new Socket(InetAddress.getLoopbackAddress(), port)) {
      sender.getOutputStream().write(bytesOf(post));

      Waits.until("the call has ended", () -> hasEnded(relay));
    }
    assertThat(upstream.runs()).isZero();
  }

  /** Guards against the deadline of a call that ends a later one on the same connection. */
  @Test
  void aCallIsRelayedBeyondTheDeadlineOfAnEarlierOne() throws IOException {
    NetServer upstream =
        vertx
            .createNetServer()
            .connectHandler(
                socket ->
                    socket.handler(
                        request ->
                            vertx.setTimer(
                                request.toString().contains("/late")
                                    ? MODERATE_DEADLINE_MILLIS + OVERDUE_MILLIS
                                    : 1,
                                passed -> socket.write(EXTRA))));
    RelayServer relay = relay(definition(Waits.get(upstream.listen(0, ADDRESS)).actualPort()));
    int port = start(relay);
    String first = within(MODERATE_DEADLINE_MILLIS).replace("connection: close\r\n", "");

    try (Socket sender = new Socket(InetAddress.getLoopbackAddress(), port)) {
      sender.setSoTimeout(PATIENCE_MILLIS);
      sender.getOutputStream().write(bytesOf(first + CALL.replace("/status", "/late")));
      String responses =
          new String(sender.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);

      assertThat(responses.split("HTTP/1.1 200 OK", -1)).hasSize(3);
    }
  }

  /** Guards against connections without a call, which a relay would keep without end. */
  @ParameterizedTest
  @ValueSource(strings = {"", "GET /status HTTP/1.1\r\nhost: desk.exa"})
  void aConnectionOnWhichNoCallBeginsIsClosed(String begun) throws IOException {
    FakePlainService upstream = new FakePlainService(vertx, "desk-1").start();
    int port = start(shortUnused(upstream.definition("desk")));

    try (Socket sender = new Socket(InetAddress.getLoopbackAddress(), port)) {
      sender.setSoTimeout(PATIENCE_MILLIS);
      sender.getOutputStream().write(bytesOf(begun));

      assertThat(sender.getInputStream().read()).isNegative();
    }
  }

  /** Guards against a head that is sent so slowly that it does not end. */
  @Test
  void aConnectionIsClosedAlthoughBytesOfAHeadArriveAllTheTime() throws IOException {
    FakePlainService upstream = new FakePlainService(vertx, "desk-1").start();
    int port = start(shortUnused(upstream.definition("desk")));
    Promise<Void> closed = Promise.promise();

    vertx.runOnContext(
        begins -> client.connect(port, ADDRESS).onSuccess(sender -> sendSlowly(sender, closed)));

    Waits.get(closed.future());
  }

  /** Sends a head without end, from the turn on in which the connection opens. */
  private void sendSlowly(NetSocket sender, Promise<Void> closed) {
    sender.closeHandler(closed::complete).exceptionHandler(reset -> {});
    sender.write("GET /status HTTP/1.1\r\nhost: ");
    vertx.setPeriodic(SHORT_UNUSED_MILLIS / 10, passed -> sender.write(BODY_BYTE));
  }

  /** Guards against calls that are taken for unused connections, and against those behind them. */
  @Test
  void aConnectionIsClosedOnceItIsUnusedAndNotDuringItsCalls() throws IOException {
    NetServer upstream =
        vertx
            .createNetServer()
            .connectHandler(
                socket ->
                    socket.handler(
                        request ->
                            vertx.setTimer(
                                2 * SHORT_UNUSED_MILLIS, passed -> socket.write(EXTRA))));
    UpstreamDefinition target = definition(Waits.get(upstream.listen(0, ADDRESS)).actualPort());
    int port = start(shortUnused(target));
    String call = CALL.replace("connection: close\r\n", "");

    try (Socket sender = new Socket(InetAddress.getLoopbackAddress(), port)) {
      sender.setSoTimeout(PATIENCE_MILLIS);
      sender.getOutputStream().write(bytesOf(call + call));
      String responses =
          new String(sender.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);

      assertThat(responses.split("HTTP/1.1 200 OK", -1)).hasSize(3);
    }
  }

  /** Guards against a body without end that is read although its call was refused. */
  @Test
  void aConnectionIsClosedAfterARefusalAlthoughItsBodyIsNotSent() throws IOException {
    FakePlainService upstream = new FakePlainService(vertx, "desk-1").start();
    int port = start(relay(upstream.definition("desk")));
    String post =
        CALL.replace(": " + TOKEN, ": wrong")
            .replaceFirst("\r\n", "\r\ncontent-length: " + BODY_BYTES + "\r\n");

    try (Socket sender = new Socket(InetAddress.getLoopbackAddress(), port)) {
      sender.setSoTimeout(PATIENCE_MILLIS);
      sender.getOutputStream().write((post + BODY_BYTE).getBytes(StandardCharsets.ISO_8859_1));
      String response =
          new String(sender.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);

      assertThat(response).startsWith("HTTP/1.1 403").contains(Relay.NOT_SENT);
    }
  }

  /** Guards against a slow sender that is taken for one that stands still. */
  @Test
  void aCallWhoseBodyIsSentSteadilyIsRelayed() throws IOException {
    FakePlainService upstream = new FakePlainService(vertx, "desk-1").start();
    RelayServer relay = relay(upstream.definition("desk"), STEADY_TIMEOUT_MILLIS);
    int port = start(relay);
    String post =
        CALL.replace("GET", "POST")
            .replaceFirst("\r\n", "\r\ncontent-length: " + STEADY_BYTES + "\r\n");

    try (Socket sender = new Socket(InetAddress.getLoopbackAddress(), port)) {
      sender.getOutputStream().write(post.getBytes(StandardCharsets.ISO_8859_1));
      for (int sent = 0; sent < STEADY_BYTES; sent++) {
        Waits.get(vertx.timer(STEADY_TIMEOUT_MILLIS / 8));
        sender.getOutputStream().write(BODY_BYTE.charAt(0));
      }
      Waits.until("the call is sent", () -> upstream.runs() == 1);
    }
  }

  /** Responds, and ends the connection or sends something that was not asked for. */
  private static void respond(NetSocket socket, int length, boolean isConnectionEnded) {
    String response =
        "HTTP/1.1 200 OK\r\ncontent-length: " + length + "\r\n\r\n" + BODY_BYTE.repeat(length);
    Future<Void> unused =
        isConnectionEnded ? socket.end(Buffer.buffer(response)) : socket.write(response + EXTRA);
  }

  /** Calls a relay and reads its response more slowly than the relay sends it. */
  private String readSlowly(int port) throws IOException {
    ByteArrayOutputStream response = new ByteArrayOutputStream();
    try (Socket socket = new Socket()) {
      socket.setSoTimeout(PATIENCE_MILLIS);
      socket.setReceiveBufferSize(READ_BYTES);
      socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
      socket.getOutputStream().write(CALL.getBytes(StandardCharsets.ISO_8859_1));
      byte[] bytes = new byte[READ_BYTES];
      for (int read = 0; read >= 0; read = socket.getInputStream().read(bytes)) {
        response.write(bytes, 0, read);
        Waits.get(vertx.timer(1));
      }
    }
    return response.toString(StandardCharsets.ISO_8859_1);
  }

  /** Returns a call that its sender ends after some time. */
  private static String within(long millis) {
    return CALL.replaceFirst("\r\n", "\r\n" + DEADLINE + ": " + millis + "\r\n");
  }

  private static byte[] bytesOf(String text) {
    return text.getBytes(StandardCharsets.ISO_8859_1);
  }

  private static UpstreamDefinition definition(int port) {
    return new UpstreamDefinition(
        new UpstreamName("desk-1"),
        "desk",
        UpstreamRole.PLAIN,
        ADDRESS,
        port,
        "zone-a",
        "region-a",
        1,
        false,
        false);
  }

  /** Starts a relay on the event loop on which its counts are read; returns its port. */
  private int start(RelayServer relay) {
    Promise<Integer> port = Promise.promise();
    loop.runOnContext(begins -> relay.start(ADDRESS, 0).onComplete(port));
    return Waits.get(port.future());
  }

  /** Returns a value that is read on the event loop of the relay. */
  private <T> T onLoop(Supplier<T> value) {
    Promise<T> read = Promise.promise();
    loop.runOnContext(turn -> read.complete(value.get()));
    return Waits.get(read.future());
  }

  /** Returns whether the only call has begun and ended. */
  private boolean hasEnded(RelayServer relay) {
    return onLoop(() -> relay.accepted() == 1 && relay.running() == 0);
  }

  private RelayServer relay(UpstreamDefinition upstream) {
    return relay(upstream, PATIENCE_MILLIS);
  }

  private RelayServer relay(UpstreamDefinition upstream, long senderTimeoutMillis) {
    return relay(
        upstream,
        new RelayTimeouts(
            senderTimeoutMillis, OVERDUE_MILLIS, UNSTATED_DEADLINE_MILLIS, UNUSED_MILLIS));
  }

  /** Returns a relay that closes connections soon once they are without a call. */
  private RelayServer shortUnused(UpstreamDefinition upstream) {
    return relay(
        upstream,
        new RelayTimeouts(
            PATIENCE_MILLIS, OVERDUE_MILLIS, UNSTATED_DEADLINE_MILLIS, SHORT_UNUSED_MILLIS));
  }

  private RelayServer relay(UpstreamDefinition upstream, RelayTimeouts timeouts) {
    return new RelayServer(
        vertx,
        TOKEN,
        protocol(),
        name -> Optional.of(upstream),
        new UpstreamConnections(
            vertx,
            new SystemClock(),
            new IgnoredResults(),
            ConnectFaults.NONE,
            target -> Optional.empty(),
            unused -> {}),
        new CallLog(
            new SystemClock(),
            () -> {},
            new IgnoredLiveness(),
            new ListAgeLog(() -> 0, new SimpleMeterRegistry())),
        () -> true,
        timeouts);
  }

  private static CallerParameters parametersOf(MultiMap headers) {
    String deadline = headers.get(DEADLINE);
    return new CallerParameters(
        "attempt-1",
        deadline == null ? OptionalLong.empty() : OptionalLong.of(Long.parseLong(deadline)),
        0,
        0,
        OptionalInt.empty(),
        OptionalInt.empty(),
        Optional.empty(),
        List.of(),
        Optional.empty());
  }

  private static ForwardingProtocol protocol() {
    return (ForwardingProtocol)
        Proxy.newProxyInstance(
            ForwardingProtocol.class.getClassLoader(),
            new Class<?>[] {ForwardingProtocol.class},
            (proxy, method, arguments) ->
                switch (method.getName()) {
                  case "parametersOf" -> parametersOf((MultiMap) arguments[0]);
                  case "attemptOf" -> "";
                  case "isProven" -> false;
                  default -> Optional.empty();
                });
  }

  private static final class IgnoredLiveness implements LivenessListener {
    @Override
    public void responded(Incarnation upstream, long sentAtMillis) {}

    @Override
    public void reached(UpstreamName upstream, long startedAtMillis) {}

    @Override
    public void connectionRefused(UpstreamName upstream) {}

    @Override
    public boolean mayHaveCrashed(UpstreamName upstream) {
      return false;
    }
  }

  private static final class IgnoredResults implements ConnectListener {
    @Override
    public void connected(UpstreamDefinition target, long startedAtMillis) {}

    @Override
    public void failed(
        UpstreamDefinition target, long startedAtMillis, boolean refused, String cause) {}
  }
}
