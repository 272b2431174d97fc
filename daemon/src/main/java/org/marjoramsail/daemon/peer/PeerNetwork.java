package org.marjoramsail.daemon.peer;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import io.micrometer.core.instrument.MeterRegistry;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetServerOptions;
import io.vertx.core.net.NetSocket;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.random.RandomGenerator;
import org.marjoramsail.core.membership.PeerAddress;
import org.marjoramsail.core.message.PeerMessage;
import org.marjoramsail.core.message.PeerMessageHandler;
import org.marjoramsail.core.message.PeerTransport;
import org.marjoramsail.core.model.DaemonId;
import org.marjoramsail.core.time.Clock;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Connections of this daemon to all peers.
 *
 * <p>A connection is opened when a message is to be sent, serves both directions if possible, and
 * is closed when idle. All connections use one event loop, on which received messages are handled;
 * messages may be sent from any thread.
 */
public final class PeerNetwork implements PeerTransport {

  private static final Logger LOGGER = LoggerFactory.getLogger(PeerNetwork.class);
  private static final int MAXIMUM_TRACKED_HOSTS = 4096;
  private static final long CLEANUP_INTERVAL_MILLIS = 10_000;

  private final Vertx vertx;
  private final PeerSettings settings;
  private final Clock clock;
  private final RandomGenerator random;
  private final Function<DaemonId, Optional<PeerAddress>> addressLookup;
  private final PeerFaults faults;
  private final Handshake handshake;
  private final PeerCodec codec;
  private final PeerMeters meters;
  private final Context context;
  private final NetServer server;
  private final NetClient client;

  private final Map<Class<? extends PeerMessage>, PeerMessageHandler> handlers =
      new ConcurrentHashMap<>();
  private final Map<PeerAddress, PeerLink> links = new ConcurrentHashMap<>();
  private final Map<DaemonId, PeerLink> linksByDaemon = new ConcurrentHashMap<>();
  private final Cache<String, Long> newestIncarnations =
      Caffeine.newBuilder().maximumSize(MAXIMUM_TRACKED_HOSTS).build();
  private final Set<PeerSession> sessions = new HashSet<>();
  private final List<Consumer<DaemonId>> connectionLostListeners = new CopyOnWriteArrayList<>();
  private int inboundConnections;
  private long cleanupTimer;
  private volatile int port;
  private volatile boolean stopped;

  /**
   * Creates an instance, which neither listens nor connects before {@link #start}.
   *
   * @param random randomness for nonces and back-off; must be cryptographically secure
   * @param addressLookup returns the address of an incarnation from the membership view; called on
   *     any thread
   * @param faults {@link PeerFaults#NONE} outside of tests
   */
  public PeerNetwork(
      Vertx vertx,
      PeerSettings settings,
      Clock clock,
      MeterRegistry registry,
      RandomGenerator random,
      Function<DaemonId, Optional<PeerAddress>> addressLookup,
      PeerFaults faults) {
    this.vertx = vertx;
    this.settings = settings;
    this.clock = clock;
    this.random = random;
    this.addressLookup = addressLookup;
    this.faults = faults;
    this.handshake = new Handshake(settings, random);
    this.codec = new PeerCodec(settings.bounds().maximumFrameBytes());
    this.meters = new PeerMeters(registry, linksByDaemon::size);
    this.context = vertx.getOrCreateContext();
    this.server = vertx.createNetServer(serverOptions(settings));
    this.client = vertx.createNetClient(clientOptions(settings.bounds()));
    newestIncarnations.put(settings.self().host(), settings.self().incarnation());
  }

  /** Registers the handler of a message class; replaces an earlier handler. */
  public void register(Class<? extends PeerMessage> message, PeerMessageHandler handler) {
    PeerMessageType.ofClass(message);
    handlers.put(message, handler);
  }

  /**
   * Registers a listener for incarnations to which the last connection has closed.
   *
   * <p>Such a daemon may have failed; the failure detector takes longer to find out.
   */
  public void onConnectionLost(Consumer<DaemonId> listener) {
    connectionLostListeners.add(listener);
  }

  /** Starts to listen; completes with the port. */
  public Future<Integer> start() {
    Promise<Integer> started = Promise.promise();
    context.runOnContext(
        unused -> {
          server.connectHandler(this::acceptConnection);
          cleanupTimer = vertx.setPeriodic(CLEANUP_INTERVAL_MILLIS, id -> removeUnusedLinks());
          server
              .listen()
              .onSuccess(listening -> port = listening.actualPort())
              .map(NetServer::actualPort)
              .onComplete(started);
        });
    return started.future();
  }

  /** Sends a close frame to all peers, and closes all connections and the port. */
  public Future<Void> stop() {
    stopped = true;
    Promise<Void> done = Promise.promise();
    context.runOnContext(
        unused -> {
          vertx.cancelTimer(cleanupTimer);
          List.copyOf(sessions).forEach(session -> session.refuse(CloseReason.STOPPING));
          links.values().forEach(link -> link.dropQueued(DropReason.STOPPED));
          Future.join(server.close(), client.close()).<Void>mapEmpty().onComplete(done);
        });
    return done.future();
  }

  /** Returns the address of this daemon, once it listens. */
  public PeerAddress listening() {
    return new PeerAddress(settings.listenAddress(), port);
  }

  @Override
  public void send(DaemonId to, PeerMessage message) {
    Optional<PeerLink> link =
        Optional.ofNullable(linksByDaemon.get(to))
            .or(() -> addressLookup.apply(to).map(this::link));
    if (link.isEmpty()) {
      meters.dropped(DropReason.NO_ADDRESS, 1);
      return;
    }
    queue(link.get(), Optional.of(to), message);
  }

  /** Sends to the daemon at an address, whatever its incarnation; for seeds. */
  public void send(PeerAddress to, PeerMessage message) {
    queue(link(to), Optional.empty(), message);
  }

  private void queue(PeerLink link, Optional<DaemonId> recipient, PeerMessage message) {
    if (stopped) {
      meters.dropped(DropReason.STOPPED, 1);
      return;
    }
    try {
      PeerMessageType type = PeerMessageType.ofClass(message.getClass());
      link.queue(OutboundFrame.of(type, recipient, codec.encode(message)));
    } catch (PeerCodecException e) {
      meters.dropped(DropReason.TOO_LARGE, 1);
    }
  }

  private PeerLink link(PeerAddress address) {
    return links.computeIfAbsent(
        address,
        key ->
            new PeerLink(
                key, vertx, context, settings.bounds(), clock, random, meters, this::connect));
  }

  private void connect(PeerLink link) {
    if (stopped) {
      link.failed();
      return;
    }
    client
        .connect(link.address().port(), link.address().address())
        .onSuccess(socket -> startSession(socket, Handshake.Role.CONNECTING, Optional.of(link)))
        .onFailure(cause -> link.failed());
  }

  private void acceptConnection(NetSocket socket) {
    PeerSession session = startSession(socket, Handshake.Role.ACCEPTING, Optional.empty());
    if (inboundConnections > settings.bounds().maximumInboundConnections()) {
      session.refuse(CloseReason.TOO_MANY_CONNECTIONS);
    }
  }

  private PeerSession startSession(
      NetSocket socket, Handshake.Role role, Optional<PeerLink> outboundLink) {
    PeerSession session =
        new PeerSession(
            vertx,
            socket,
            role,
            handshake,
            handshake.hello(port),
            codec,
            settings.bounds(),
            meters,
            new SessionListener(role, outboundLink));
    sessions.add(session);
    if (role == Handshake.Role.ACCEPTING) {
      inboundConnections++;
    }
    session.start();
    return session;
  }

  private void deliver(DaemonId from, PeerMessage message) {
    PeerFaults.Arrival arrival = faults.arrival(from, settings.self());
    if (arrival.copies() == 0) {
      meters.dropped(DropReason.INJECTED, 1);
    }
    for (int copy = 0; copy < arrival.copies(); copy++) {
      if (arrival.delayMillis() > 0) {
        vertx.setTimer(arrival.delayMillis(), id -> handle(from, message));
      } else {
        handle(from, message);
      }
    }
  }

  private void handle(DaemonId from, PeerMessage message) {
    PeerMessageHandler handler = handlers.get(message.getClass());
    if (handler == null || stopped) {
      meters.dropped(stopped ? DropReason.STOPPED : DropReason.NO_HANDLER, 1);
      return;
    }
    try {
      handler.handle(from, message);
    } catch (RuntimeException e) {
      // One failed message must not close the connection for all others.
      meters.dropped(DropReason.HANDLER_FAILED, 1);
      LOGGER
          .atError()
          .addKeyValue("from", from)
          .addKeyValue("message", message.getClass().getSimpleName())
          .setCause(e)
          .log("A peer message handler failed");
    }
  }

  private void removeUnusedLinks() {
    links.values().removeIf(PeerLink::isRemovable);
  }

  private static NetServerOptions serverOptions(PeerSettings settings) {
    return new NetServerOptions()
        .setHost(settings.listenAddress())
        .setPort(settings.port())
        .setTcpNoDelay(true)
        .setIdleTimeout(settings.bounds().idleTimeoutSeconds());
  }

  private static NetClientOptions clientOptions(PeerBounds bounds) {
    return new NetClientOptions()
        .setConnectTimeout(bounds.connectTimeoutMillis())
        .setTcpNoDelay(true)
        .setIdleTimeout(bounds.idleTimeoutSeconds());
  }

  /** Updates the maps of links when a connection opens or closes. */
  private final class SessionListener implements PeerSession.Listener {

    private final Handshake.Role role;
    private final Optional<PeerLink> outboundLink;
    private Optional<PeerLink> openedLink = Optional.empty();

    SessionListener(Handshake.Role role, Optional<PeerLink> outboundLink) {
      this.role = role;
      this.outboundLink = outboundLink;
    }

    /**
     * Refuses an older incarnation than the newest one that has connected from the same host.
     *
     * <p>This guards against a paused daemon that resumes after its successor has started, and
     * would overwrite the successor's state.
     */
    @Override
    public Optional<CloseReason> refusal(Hello other) {
      Long newest = newestIncarnations.getIfPresent(other.daemon().host());
      boolean superseded = newest != null && newest > other.daemon().incarnation();
      return superseded ? Optional.of(CloseReason.OLD_INCARNATION) : Optional.empty();
    }

    @Override
    public void opened(PeerSession session) {
      DaemonId daemon = session.other().daemon();
      meters.connected();
      newestIncarnations.put(daemon.host(), daemon.incarnation());
      closeSuperseded(daemon);
      PeerLink link = outboundLink.orElseGet(() -> link(session.other().listening()));
      openedLink = Optional.of(link);
      linksByDaemon.put(daemon, link);
      link.opened(session);
    }

    @Override
    public void received(PeerSession session, PeerMessage message) {
      deliver(session.other().daemon(), message);
    }

    @Override
    public void closed(PeerSession session) {
      sessions.remove(session);
      if (role == Handshake.Role.ACCEPTING) {
        inboundConnections--;
      }
      if (openedLink.isPresent()) {
        detach(session, openedLink.get());
      } else {
        outboundLink.ifPresent(PeerLink::failed);
      }
    }

    /**
     * Switches the link to another open connection, which exists if both daemons connected at the
     * same time; otherwise reports the loss.
     */
    private void detach(PeerSession session, PeerLink link) {
      DaemonId daemon = session.other().daemon();
      link.closed(session);
      Optional<PeerSession> other =
          sessions.stream()
              .filter(candidate -> candidate.isOpen() && candidate.other().daemon().equals(daemon))
              .findAny();
      if (other.isPresent()) {
        link.opened(other.get());
      } else {
        linksByDaemon.remove(daemon, link);
        connectionLostListeners.forEach(listener -> listener.accept(daemon));
      }
    }

    private void closeSuperseded(DaemonId newer) {
      sessions.stream()
          .filter(session -> session.isOpen() && newer.supersedes(session.other().daemon()))
          .toList()
          .forEach(session -> session.refuse(CloseReason.OLD_INCARNATION));
    }
  }
}
