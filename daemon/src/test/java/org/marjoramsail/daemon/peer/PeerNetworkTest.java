package org.marjoramsail.daemon.peer;

import static org.assertj.core.api.Assertions.assertThat;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetSocket;
import java.io.IOException;
import java.net.BindException;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.marjoramsail.core.membership.PeerAddress;
import org.marjoramsail.core.membership.PingMessage;
import org.marjoramsail.core.message.PeerMessage;
import org.marjoramsail.core.model.DaemonId;
import org.marjoramsail.core.time.Clock;

/** Tests over loopback sockets; each wait ends with an event, or fails at a timeout. */
final class PeerNetworkTest {

  private static final int LOWEST_PORT = 21_000;
  private static final int LOWEST_EPHEMERAL_PORT = 32_768;

  private static final long TIMEOUT_SECONDS = 20;
  private static final Clock CLOCK = () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
  private static final PeerBounds BOUNDS = PeerBounds.defaults();

  private final Map<DaemonId, PeerAddress> addresses = new ConcurrentHashMap<>();
  private final List<Daemon> daemons = new ArrayList<>();
  private Vertx vertx;
  private NetClient client;

  @BeforeEach
  void open() {
    vertx = Vertx.vertx();
    client = vertx.createNetClient();
  }

  @AfterEach
  void close() throws Exception {
    for (Daemon daemon : daemons) {
      await(daemon.network.stop());
    }
    await(vertx.close());
  }

  @Test
  void messagesArriveInOrderWithTheirAuthenticatedSender() throws Exception {
    Daemon one = daemon("one", 1, "key");
    Daemon two = daemon("two", 1, "key");
    for (int sequence = 0; sequence < 1000; sequence++) {
      one.network.send(two.id, new PingMessage(sequence, List.of()));
    }
    for (int sequence = 0; sequence < 1000; sequence++) {
      assertThat(two.next()).isEqualTo(new Received(one.id, new PingMessage(sequence, List.of())));
    }
    two.network.send(one.id, new PingMessage(7, List.of()));
    assertThat(one.next().from()).isEqualTo(two.id);
    assertThat(one.count("marjoramsail.peer.connects") + two.count("marjoramsail.peer.connects"))
        .as("both directions share one connection, which each side counts")
        .isEqualTo(2);
  }

  @Test
  void listenersAreNotifiedWhenTheLastConnectionToAnIncarnationCloses() throws Exception {
    // Guards against requests that wait for the failure detector after the owner of their shard has
    // failed and its connections have closed.
    Daemon one = daemon("one", 1, "key");
    Daemon two = daemon("two", 1, "key");
    CompletableFuture<DaemonId> lost = new CompletableFuture<>();
    one.network.onConnectionLost(lost::complete);
    one.network.send(two.id, new PingMessage(1, List.of()));
    assertThat(two.next().from()).isEqualTo(one.id);
    await(two.network.stop());
    assertThat(lost.get(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isEqualTo(two.id);
  }

  @Test
  void aDaemonWithoutTheClusterKeyIsRefused() throws Exception {
    Daemon one = daemon("one", 1, "key");
    Daemon otherKey = daemon("stranger", 1, "another key");
    otherKey.network.send(one.id, new PingMessage(1, List.of()));
    otherKey.awaitCount("marjoramsail.peer.refusals", "reason", "wrong-proof");
    assertThat(one.received).isEmpty();
  }

  @Test
  void anAcceptingDaemonRefusesAnInvalidProof() throws Exception {
    Daemon one = daemon("one", 1, "key");
    Handshake wrongKey =
        new Handshake(settings("liar", 1, "cluster", "guess", BOUNDS), new Random(9));
    RawConnection connection = new RawConnection(one.network.listening());
    connection.send(wrongKey.hello(1));
    assertThat(connection.next()).isInstanceOf(Hello.class);
    connection.send(new HelloProof("00"));
    assertThat(connection.next()).isEqualTo(new CloseFrame(CloseReason.WRONG_PROOF));
    connection.awaitClose();
  }

  @Test
  void aDaemonOfAnotherClusterOrProtocolIsRefusedWithTheReason() throws Exception {
    Daemon one = daemon("one", 1, "key");
    Handshake other = new Handshake(settings("two", 1, "elsewhere", "key", BOUNDS), new Random(9));
    RawConnection otherCluster = new RawConnection(one.network.listening());
    otherCluster.send(other.hello(1));
    assertThat(otherCluster.next()).isEqualTo(new CloseFrame(CloseReason.OTHER_CLUSTER));

    Hello hello = new Handshake(one.settings, new Random(9)).hello(1);
    RawConnection otherProtocol = new RawConnection(one.network.listening());
    otherProtocol.send(
        new Hello(2, "cluster", hello.daemon(), hello.listening(), "z", "r", "n", hello.proof()));
    assertThat(otherProtocol.next()).isEqualTo(new CloseFrame(CloseReason.OTHER_PROTOCOL));
  }

  @Test
  void anOlderIncarnationIsRefusedAfterItsSuccessorHasConnected() throws Exception {
    // Guards against a paused daemon that resumes after its successor has connected: it holds the
    // cluster key, but must not act for the host any more.
    Daemon one = daemon("one", 1, "key");
    Daemon predecessor = daemon("two", 5, "key");
    predecessor.network.send(one.id, new PingMessage(1, List.of()));
    assertThat(one.next().from()).isEqualTo(predecessor.id);
    Daemon successor = daemon("two", 6, "key");
    successor.network.send(one.id, new PingMessage(2, List.of()));
    assertThat(one.next().from()).isEqualTo(successor.id);
    predecessor.awaitCount("marjoramsail.peer.refusals", "reason", "old-incarnation");
    double refusals = predecessor.count("marjoramsail.peer.refusals", "reason", "old-incarnation");
    // A message written to a closing connection is lost, so messages are sent until one is refused.
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
    while (predecessor.count("marjoramsail.peer.refusals", "reason", "old-incarnation")
        <= refusals) {
      predecessor.network.send(one.id, new PingMessage(3, List.of()));
      assertThat(one.received.poll(20, TimeUnit.MILLISECONDS)).isNull();
      assertThat(System.nanoTime()).as("refused again before the timeout").isLessThan(end);
    }
  }

  @Test
  void aMessageForAnEarlierIncarnationIsNotDeliveredToTheCurrentOne() throws Exception {
    Daemon one = daemon("one", 1, "key");
    Daemon two = daemon("two", 6, "key");
    DaemonId predecessor = new DaemonId("two", 5);
    addresses.put(predecessor, two.network.listening());
    one.network.send(predecessor, new PingMessage(1, List.of()));
    one.awaitCount("marjoramsail.peer.drops", "reason", "other-incarnation");
    assertThat(two.received).isEmpty();
  }

  @Test
  void malformedAndOversizedFramesCloseTheConnectionAndAreCounted() throws Exception {
    Daemon one = daemon("one", 1, "key");
    List<Buffer> malformedFrames =
        List.of(
            Buffer.buffer().appendInt(BOUNDS.maximumFrameBytes() + 1),
            Buffer.buffer().appendInt(0),
            Buffer.buffer().appendInt(-1),
            Buffer.buffer().appendInt(2).appendByte((byte) 0xc1).appendByte((byte) 0xc1));
    for (Buffer frame : malformedFrames) {
      RawConnection connection = new RawConnection(one.network.listening());
      connection.write(frame);
      assertThat(connection.next()).isEqualTo(new CloseFrame(CloseReason.MALFORMED_FRAME));
      connection.awaitClose();
    }
    assertThat(one.count("marjoramsail.peer.refusals", "reason", "malformed-frame")).isEqualTo(4);
  }

  @Test
  void aConnectionWithoutAHandshakeIsClosedAtTheTimeout() throws Exception {
    PeerBounds shortTimeout = new PeerBounds(1 << 20, 8, 1 << 20, 1 << 16, 20, 1000, 10, 20, 300);
    Daemon one = daemon(settings("one", 1, "cluster", "key", shortTimeout), PeerFaults.NONE);
    RawConnection idle = new RawConnection(one.network.listening());
    assertThat(idle.next()).isEqualTo(new CloseFrame(CloseReason.HANDSHAKE_TIMEOUT));
    idle.awaitClose();
  }

  @Test
  void connectionsAboveTheMaximumAreRefused() throws Exception {
    PeerBounds singleConnection =
        new PeerBounds(1 << 20, 1, 1 << 20, 1 << 16, 60_000, 1000, 10, 20, 300);
    Daemon one = daemon(settings("one", 1, "cluster", "key", singleConnection), PeerFaults.NONE);
    RawConnection first = new RawConnection(one.network.listening());
    first.send(
        new Handshake(settings("a", 1, "cluster", "key", singleConnection), new Random(1))
            .hello(1));
    assertThat(first.next()).isInstanceOf(Hello.class);
    RawConnection second = new RawConnection(one.network.listening());
    assertThat(second.next()).isEqualTo(new CloseFrame(CloseReason.TOO_MANY_CONNECTIONS));
  }

  /**
   * Returns a socket that keeps other runs of this test away from the port before its own, which is
   * free and below the ephemeral range, so that no outgoing connection of any process can take it
   * while the daemon restarts.
   */
  private static ServerSocket guardOfFreePort() throws IOException {
    for (int port = LOWEST_PORT; port < LOWEST_EPHEMERAL_PORT; port += 2) {
      try {
        ServerSocket guard = new ServerSocket(port + 1);
        if (isFree(port)) {
          return guard;
        }
        guard.close();
      } catch (BindException portInUse) {
        // Try the next two ports.
      }
    }
    throw new IOException("No port is free.");
  }

  private static boolean isFree(int port) throws IOException {
    try (ServerSocket free = new ServerSocket(port)) {
      return free.isBound();
    } catch (BindException portInUse) {
      return false;
    }
  }

  /**
   * Waits until a port is free: the socket of a daemon that has stopped listens until the event
   * loop that accepts its connections has run once more.
   */
  private static void awaitFree(int port) throws IOException {
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
    while (!isFree(port)) {
      assertThat(System.nanoTime()).as("port %d is free before the timeout", port).isLessThan(end);
      Thread.onSpinWait();
    }
  }

  @Test
  void aDaemonThatRestartsOnItsPortReceivesMessagesAgain() throws Exception {
    try (ServerSocket guard = guardOfFreePort()) {
      int port = guard.getLocalPort() - 1;
      Daemon one = daemon("one", 1, "key");
      Daemon two = daemon(settingsAt(port, id("two", 1)), PeerFaults.NONE);
      one.network.send(two.id, new PingMessage(1, List.of()));
      two.next();
      await(two.network.stop());
      awaitFree(port);
      Daemon restarted = daemon(settingsAt(port, id("two", 2)), PeerFaults.NONE);
      Received received = null;
      for (int sequence = 2; received == null; sequence++) {
        one.network.send(restarted.id, new PingMessage(sequence, List.of()));
        received = restarted.received.poll(50, TimeUnit.MILLISECONDS);
      }
      assertThat(received.from()).isEqualTo(one.id);
    }
  }

  private static PeerSettings settingsAt(int port, DaemonId daemon) {
    return new PeerSettings("127.0.0.1", port, "cluster", "key", daemon, "z", "r", BOUNDS);
  }

  @Test
  void messagesForAnAddressWithoutAListenerAreDroppedAndCounted() throws Exception {
    PeerBounds smallQueue = new PeerBounds(1 << 20, 8, 100, 1 << 16, 60_000, 1000, 10, 20, 300);
    Daemon one = daemon(settings("one", 1, "cluster", "key", smallQueue), PeerFaults.NONE);
    PeerAddress unusedAddress = new PeerAddress("127.0.0.1", 1);
    for (int sequence = 0; sequence < 100; sequence++) {
      one.network.send(unusedAddress, new PingMessage(sequence, List.of()));
    }
    one.awaitTotal(100, "marjoramsail.peer.drops");
  }

  @Test
  void injectedFaultsDropAndDuplicateMessages() throws Exception {
    AdjustablePeerFaults faults = new AdjustablePeerFaults(new Random(3));
    Daemon one = daemon("one", 1, "key");
    Daemon two = daemon(settings("two", 1, "cluster", "key", BOUNDS), faults);
    faults.partition("two", "one");
    one.network.send(two.id, new PingMessage(1, List.of()));
    two.awaitCount("marjoramsail.peer.drops", "reason", "injected");
    faults.heal("one", "two");
    faults.setRates(new AdjustablePeerFaults.Rates(0, 1, 3));
    one.network.send(two.id, new PingMessage(2, List.of()));
    assertThat(two.next().message()).isEqualTo(new PingMessage(2, List.of()));
    assertThat(two.next().message()).isEqualTo(new PingMessage(2, List.of()));
  }

  private record Received(DaemonId from, Object message) {}

  private static final class Daemon {
    final DaemonId id;
    final PeerSettings settings;
    final SimpleMeterRegistry meters;
    final BlockingQueue<Received> received = new LinkedBlockingQueue<>();
    final PeerNetwork network;

    Daemon(PeerSettings settings, PeerNetwork network, SimpleMeterRegistry meters) {
      this.id = settings.self();
      this.settings = settings;
      this.network = network;
      network.register(
          PingMessage.class, (from, message) -> received.add(new Received(from, message)));
      this.meters = meters;
    }

    Received next() throws InterruptedException {
      Received next = received.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
      assertThat(next).as("a message").isNotNull();
      return next;
    }

    double count(String name, String... tags) {
      return meters.find(name).tags(tags).counters().stream().mapToDouble(c -> c.count()).sum();
    }

    void awaitCount(String name, String... tags) {
      awaitMoreThan(0, name, tags);
    }

    void awaitTotal(double total, String name) {
      awaitMoreThan(total - 1, name);
    }

    void awaitMoreThan(double bound, String name, String... tags) {
      long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
      while (count(name, tags) <= bound && System.nanoTime() < end) {
        Thread.onSpinWait();
      }
      assertThat(count(name, tags)).isGreaterThan(bound);
    }
  }

  /** Connection on which a test sends and receives frames without a {@link PeerNetwork}. */
  private final class RawConnection {
    private final PeerCodec codec = new PeerCodec(1 << 20);
    private final BlockingQueue<Object> received = new LinkedBlockingQueue<>();
    private final CompletableFuture<Void> closed = new CompletableFuture<>();
    private final NetSocket socket;
    private Buffer unparsed = Buffer.buffer();

    RawConnection(PeerAddress address) throws Exception {
      Promise<NetSocket> connected = Promise.promise();
      vertx.runOnContext(
          begins ->
              client
                  .connect(address.port(), address.address())
                  .onSuccess(this::opened)
                  .onComplete(connected));
      socket = await(connected.future());
    }

    /** Handles a new connection, on its event loop before anything is read from it. */
    private void opened(NetSocket opened) {
      opened.handler(this::read);
      opened.closeHandler(ended -> closed.complete(null));
    }

    private void read(Buffer bytes) {
      unparsed.appendBuffer(bytes);
      while (unparsed.length() >= 4 && unparsed.length() >= 4 + unparsed.getInt(0)) {
        int length = unparsed.getInt(0);
        try {
          received.add(codec.decode(unparsed.getBytes(4, 4 + length)));
        } catch (PeerCodecException e) {
          received.add(e);
        }
        unparsed = unparsed.getBuffer(4 + length, unparsed.length());
      }
    }

    void send(PeerMessage message) throws PeerCodecException {
      byte[] body = codec.encode(message);
      write(Buffer.buffer().appendInt(body.length).appendBytes(body));
    }

    void write(Buffer bytes) {
      socket.write(bytes);
    }

    Object next() throws InterruptedException {
      return received.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    void awaitClose() throws Exception {
      closed.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }
  }

  private static DaemonId id(String host, long incarnation) {
    return new DaemonId(host, incarnation);
  }

  private static PeerSettings settings(
      String host, long incarnation, String cluster, String key, PeerBounds bounds) {
    return new PeerSettings(
        "127.0.0.1", 0, cluster, key, id(host, incarnation), "zone", "region", bounds);
  }

  private Daemon daemon(String host, long incarnation, String key) throws Exception {
    return daemon(settings(host, incarnation, "cluster", key, BOUNDS), PeerFaults.NONE);
  }

  private Daemon daemon(PeerSettings settings, PeerFaults faults) throws Exception {
    SimpleMeterRegistry registry = new SimpleMeterRegistry();
    PeerNetwork network =
        new PeerNetwork(
            vertx,
            settings,
            CLOCK,
            registry,
            new Random(settings.self().incarnation()),
            id -> Optional.ofNullable(addresses.get(id)),
            faults);
    Daemon daemon = new Daemon(settings, network, registry);
    await(network.start());
    addresses.put(settings.self(), network.listening());
    daemons.add(daemon);
    return daemon;
  }

  private static <T> T await(Future<T> future) throws Exception {
    return future.toCompletionStage().toCompletableFuture().get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
  }
}
