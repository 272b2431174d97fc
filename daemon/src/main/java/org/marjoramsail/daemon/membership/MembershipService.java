package org.marjoramsail.daemon.membership;

import io.micrometer.core.instrument.MeterRegistry;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import org.marjoramsail.core.membership.AckMessage;
import org.marjoramsail.core.membership.Departure;
import org.marjoramsail.core.membership.DigestMessage;
import org.marjoramsail.core.membership.Health;
import org.marjoramsail.core.membership.Member;
import org.marjoramsail.core.membership.MemberState;
import org.marjoramsail.core.membership.MemberUpdate;
import org.marjoramsail.core.membership.MembershipAction;
import org.marjoramsail.core.membership.MembershipProtocol;
import org.marjoramsail.core.membership.MembershipSettings;
import org.marjoramsail.core.membership.MembershipStatistics;
import org.marjoramsail.core.membership.MembershipView;
import org.marjoramsail.core.membership.PeerAddress;
import org.marjoramsail.core.membership.PingMessage;
import org.marjoramsail.core.membership.PingRequestMessage;
import org.marjoramsail.core.membership.StateMessage;
import org.marjoramsail.core.message.PeerMessage;
import org.marjoramsail.core.model.DaemonId;
import org.marjoramsail.core.time.Clock;
import org.marjoramsail.daemon.peer.PeerNetwork;
import org.marjoramsail.daemon.peer.PeerSettings;
import org.marjoramsail.daemon.timing.AdaptiveTimer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Maintains the membership view: drives the failure detector by timers and messages.
 *
 * <p>The detector is called under one lock. Listeners are called in sequence on an event loop,
 * outside of that lock; reading the view takes no lock.
 */
public final class MembershipService {

  private static final Logger LOGGER = LoggerFactory.getLogger(MembershipService.class);

  /** Time allowed for the last messages to be written before a stop completes. */
  private static final long STOP_FLUSH_MILLIS = 200;

  private static final List<Class<? extends PeerMessage>> MESSAGE_CLASSES =
      List.of(
          PingMessage.class,
          AckMessage.class,
          PingRequestMessage.class,
          DigestMessage.class,
          StateMessage.class);

  /** Receives the version of the configuration that another daemon has. */
  @FunctionalInterface
  public interface VersionListener {
    /** Handles a version; zero if the daemon has none. */
    void told(DaemonId from, long version);
  }

  private final Vertx vertx;
  private final Context context;
  private final PeerNetwork network;
  private final PeerDirectory directory;
  private final PeerSettings peerSettings;
  private final MembershipSettings settings;
  private final List<PeerAddress> seeds;
  private final Clock clock;
  private final RandomGenerator random;
  private final List<Consumer<MembershipView>> listeners = new CopyOnWriteArrayList<>();

  private final Object lock = new Object();
  private Optional<MembershipProtocol> protocol = Optional.empty();
  private volatile LongSupplier ownVersion = () -> 0;
  private volatile VersionListener versionListener = (from, version) -> {};
  private boolean successorLogged;
  private volatile MembershipView view;
  private final AdaptiveTimer tickTimer;

  /**
   * Creates an instance, which sends nothing before {@link #start}.
   *
   * @param network the connections to peers; started before this service and stopped after it
   * @param directory the directory from which {@code network} reads addresses
   * @param seeds addresses of possible peers; may contain stale addresses and the own one
   */
  public MembershipService(
      Vertx vertx,
      PeerNetwork network,
      PeerDirectory directory,
      PeerSettings peerSettings,
      MembershipSettings settings,
      List<PeerAddress> seeds,
      Clock clock,
      MeterRegistry registry,
      RandomGenerator random) {
    this.vertx = vertx;
    this.context = vertx.getOrCreateContext();
    this.network = network;
    this.directory = directory;
    this.peerSettings = peerSettings;
    this.settings = settings;
    this.seeds = List.copyOf(seeds);
    this.clock = clock;
    this.random = random;
    this.view = initialView(peerSettings);
    this.tickTimer = new AdaptiveTimer(vertx, this::pauseMillis, this::tick);
    MembershipMeters.register(registry, this::view, this::statistics);
  }

  /** Returns the current view, which has this daemon alone before the start. */
  public MembershipView view() {
    return view;
  }

  /** Registers a listener, which is called with each new view in order. */
  public void listen(Consumer<MembershipView> listener) {
    listeners.add(listener);
  }

  /**
   * Adds the version of the configuration to what daemons send each other, so that one that cannot
   * read a newer one is told of it.
   *
   * @param own returns the version that this daemon has
   * @param listener receives the versions of the others
   */
  public void exchangeVersions(LongSupplier own, VersionListener listener) {
    ownVersion = own;
    versionListener = listener;
  }

  /** Returns the counters of the failure detector. */
  public MembershipStatistics statistics() {
    synchronized (lock) {
      return protocol
          .map(MembershipProtocol::statistics)
          .orElseGet(() -> new MembershipStatistics(0, 0, 0, 0, 0, 0, 0, 0, 0));
    }
  }

  /** Returns a later incarnation on the own host, if one is known; this one should stop then. */
  public Optional<DaemonId> successor() {
    synchronized (lock) {
      return protocol.flatMap(MembershipProtocol::successor);
    }
  }

  /** Starts the failure detector; the network must be listening. */
  public void start() {
    synchronized (lock) {
      protocol =
          Optional.of(
              new MembershipProtocol(
                  settings, self(network.listening()), seeds, random, clock.millis()));
      view = protocol.get().view();
    }
    for (Class<? extends PeerMessage> message : MESSAGE_CLASSES) {
      network.register(message, this::receive);
    }
    tickTimer.start();
  }

  /** Sets the addresses of the platform's host list, which may lag; they are used like seeds. */
  public void hostList(List<PeerAddress> addresses) {
    hostList(addresses, true);
  }

  /**
   * Sets the addresses of a host list.
   *
   * @param isComplete whether the list has all hosts; otherwise the seeds count as hosts as well
   */
  public void hostList(List<PeerAddress> addresses, boolean isComplete) {
    synchronized (lock) {
      protocol.ifPresent(running -> running.hostList(addresses, isComplete));
    }
  }

  /** Announces that this daemon is leaving and takes no new work; it still responds to pings. */
  public void leave() {
    synchronized (lock) {
      protocol.ifPresent(running -> perform(running.leave(clock.millis())));
    }
  }

  /** Announces that this daemon has left, and stops; completes after the time to send that. */
  public Future<Void> stop() {
    tickTimer.stop();
    synchronized (lock) {
      protocol.ifPresent(running -> perform(running.markLeft(clock.millis())));
      protocol = Optional.empty();
    }
    Promise<Void> sent = Promise.promise();
    vertx.setTimer(STOP_FLUSH_MILLIS, id -> sent.complete());
    return sent.future();
  }

  private void tick() {
    synchronized (lock) {
      protocol.ifPresent(running -> perform(running.tick(clock.millis())));
    }
  }

  private long pauseMillis() {
    synchronized (lock) {
      return protocol
          .map(running -> running.pauseMillis(clock.millis()))
          .orElse(MembershipSettings.TICK_MILLIS);
    }
  }

  private void receive(DaemonId from, PeerMessage message) {
    synchronized (lock) {
      protocol.ifPresent(running -> perform(running.receive(from, message, clock.millis())));
      logSuccessor();
    }
    readVersion(from, message);
    // The message may have brought a suspicion, whose timeouts require shorter pauses.
    tickTimer.wake();
  }

  private void logSuccessor() {
    Optional<DaemonId> successor = protocol.flatMap(MembershipProtocol::successor);
    if (successor.isPresent() && !successorLogged) {
      successorLogged = true;
      LOGGER
          .atWarn()
          .addKeyValue("daemon", peerSettings.self())
          .addKeyValue("successor", successor.get())
          .log("A later run has this daemon's host name");
    }
  }

  private void perform(List<MembershipAction> actions) {
    for (MembershipAction action : actions) {
      if (action instanceof MembershipAction.Send send) {
        network.send(send.to(), withVersion(send.message()));
      } else if (action instanceof MembershipAction.SendToAddress send) {
        network.send(send.to(), withVersion(send.message()));
      } else if (action instanceof MembershipAction.Changed changed) {
        changed(changed.view());
      }
    }
  }

  private PeerMessage withVersion(PeerMessage message) {
    if (message instanceof PingMessage ping) {
      return ping.withConfigurationVersion(ownVersion.getAsLong());
    }
    return message instanceof AckMessage ack
        ? ack.withConfigurationVersion(ownVersion.getAsLong())
        : message;
  }

  private void readVersion(DaemonId from, PeerMessage message) {
    if (message instanceof PingMessage ping) {
      versionListener.told(from, ping.configurationVersion());
    } else if (message instanceof AckMessage ack) {
      versionListener.told(from, ack.configurationVersion());
    }
  }

  private void changed(MembershipView newView) {
    logChanges(view, newView);
    view = newView;
    directory.update(newView);
    context.runOnContext(unused -> listeners.forEach(listener -> listener.accept(newView)));
  }

  private static void logChanges(MembershipView before, MembershipView after) {
    Map<DaemonId, MemberState> states = new HashMap<>();
    before.members().forEach(member -> states.put(member.id(), member.state()));
    for (Member member : after.members()) {
      MemberState previous = states.get(member.id());
      if (previous != member.state()) {
        LOGGER
            .atInfo()
            .addKeyValue("daemon", member.id())
            .addKeyValue("before", previous)
            .addKeyValue("state", member.state())
            .log("A daemon's state changed");
      }
    }
  }

  private MemberUpdate self(PeerAddress listening) {
    return new MemberUpdate(
        peerSettings.self().host(),
        peerSettings.self().incarnation(),
        0,
        Health.ALIVE,
        Departure.STAYING,
        listening.address(),
        listening.port(),
        peerSettings.availabilityZone(),
        peerSettings.region(),
        peerSettings.milliCores());
  }

  private static MembershipView initialView(PeerSettings settings) {
    Member self =
        new Member(
            settings.self(),
            settings.listenAddress(),
            settings.port(),
            settings.availabilityZone(),
            settings.region(),
            MemberState.ALIVE,
            settings.milliCores());
    return new MembershipView(self, List.of(self));
  }
}
