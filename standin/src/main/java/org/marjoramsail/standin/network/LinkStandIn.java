package org.marjoramsail.standin.network;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.IntConsumer;
import java.util.function.LongUnaryOperator;
import java.util.function.Supplier;
import org.marjoramsail.core.time.Clock;

/**
 * A network path to a server that can be cut: a TCP proxy that holds all bytes meanwhile, as the
 * operating system of their sender does. New connections, bytes and ends of connections take the
 * same constant time to the other side.
 *
 * <p>After the cut, the held bytes of a connection that its sender has closed are delivered; those
 * of a connection that its sender has reset are discarded. Safe for several threads.
 */
public final class LinkStandIn {

  /** State after a cut of the connections that were open in it. */
  public enum OpenConnections {
    /** They continue, and what was held is delivered. */
    CONTINUE,
    /** They are closed on both sides. */
    CLOSE,
    /** They stay open and transmit nothing, as after a device on the path has lost its state. */
    STAY_SILENT
  }

  private static final long FIRST_RETRANSMISSION_MILLIS = 200;

  private final Vertx vertx;
  private final Clock clock;
  private final LongUnaryOperator deliveryDelay;
  private final long pathMillis;
  private final NetClient client;
  private final Set<Direction> directions = new HashSet<>();
  private volatile IntConsumer refusalListener = port -> {};
  private NetServer server;
  private boolean cut;
  private Optional<Supplier<Future<Set<Integer>>>> cutPorts = Optional.empty();
  private int closedByCallers;

  /** Creates a path that is not cut and takes no time. */
  public LinkStandIn(Vertx vertx, Clock clock, LongUnaryOperator deliveryDelay) {
    this(vertx, clock, deliveryDelay, 0);
  }

  /**
   * Creates a path that is not cut.
   *
   * @param vertx runs the event loop
   * @param clock returns the current time
   * @param deliveryDelay returns the delay of bytes after a cut, from the time for which they were
   *     held, both in milliseconds
   * @param pathMillis time from one side to the other
   */
  public LinkStandIn(Vertx vertx, Clock clock, LongUnaryOperator deliveryDelay, long pathMillis) {
    this.vertx = vertx;
    this.clock = clock;
    this.deliveryDelay = deliveryDelay;
    this.pathMillis = pathMillis;
    this.client = vertx.createNetClient();
  }

  /** Returns the time until the next retransmission of bytes that were held for some time. */
  public static long retransmissionDelayMillis(long heldMillis) {
    long atMillis = FIRST_RETRANSMISSION_MILLIS;
    long intervalMillis = FIRST_RETRANSMISSION_MILLIS;
    while (atMillis < heldMillis) {
      intervalMillis *= 2;
      atMillis += intervalMillis;
    }
    return atMillis - heldMillis;
  }

  /**
   * Sets the listener for connections that the server refuses, which gets the ports of their
   * callers: the proxy has accepted them, so that these see a connection that is closed.
   */
  public void onRefused(IntConsumer listener) {
    refusalListener = listener;
  }

  /** Listens in front of a server on the same address; returns the port. */
  public Future<Integer> start(String address, int targetPort) {
    server = vertx.createNetServer();
    server.connectHandler(near -> opened(near, address, targetPort));
    return server.listen(0, address).map(NetServer::actualPort);
  }

  /** Refuses new connections and closes the open ones, as the host of a process that has ended. */
  public Future<Void> close() {
    return server.close();
  }

  /** Holds all bytes from now on. */
  public synchronized void cut() {
    cut = true;
    cutPorts = Optional.empty();
    directions.forEach(direction -> direction.isCut = true);
  }

  /**
   * Holds all bytes of some connections, once it is known which these are, until the path is
   * restored. A connection that is opened meanwhile transmits nothing before this is known of it.
   *
   * @param ports returns the ports of the callers whose connections are cut; asked now and for each
   *     later connection
   */
  public synchronized void cut(Supplier<Future<Set<Integer>>> ports) {
    cut = true;
    cutPorts = Optional.of(ports);
    List<Direction> open = List.copyOf(directions);
    ports.get().onSuccess(current -> cutOpen(open, ports, current));
  }

  private synchronized void cutOpen(
      List<Direction> open, Supplier<Future<Set<Integer>>> ports, Set<Integer> current) {
    if (portsOfCut().filter(ports::equals).isPresent()) {
      open.forEach(direction -> direction.isCut = current.contains(direction.nearPort));
    }
  }

  /** Delivers what was held, and all bytes from now on. */
  public void restore() {
    restore(OpenConnections.CONTINUE);
  }

  /** Ends the cut; connections that are opened from now on transmit all bytes. */
  public synchronized void restore(OpenConnections open) {
    cut = false;
    for (Direction direction : List.copyOf(directions)) {
      direction.isCut = false;
      switch (open) {
        case CONTINUE -> direction.deliverLater();
        case CLOSE -> direction.closeNow();
        case STAY_SILENT -> direction.silence();
      }
    }
  }

  /** Returns the number of connections that the side of the callers has closed or reset. */
  public synchronized int closedByCallers() {
    return closedByCallers;
  }

  /** Returns the number of bytes that are held. */
  public synchronized int heldBytes() {
    return directions.stream().mapToInt(direction -> direction.held.length()).sum();
  }

  private void opened(NetSocket near, String address, int targetPort) {
    near.pause();
    Promise<Void> closed = Promise.promise();
    near.closeHandler(ended -> closed.complete());
    afterPath()
        .compose(passed -> client.connect(targetPort, address))
        .onSuccess(far -> reached(near, far, closed.future()))
        .onFailure(cause -> refused(near));
  }

  private Future<Void> afterPath() {
    return pathMillis == 0
        ? Future.succeededFuture()
        : vertx.timer(pathMillis, TimeUnit.MILLISECONDS).mapEmpty();
  }

  private void refused(NetSocket near) {
    refusalListener.accept(near.remoteAddress().port());
    afterPath().onSuccess(passed -> near.close());
  }

  private void reached(NetSocket near, NetSocket far, Future<Void> closed) {
    far.pause();
    far.closeHandler(ended -> near.close());
    closed.onSuccess(ended -> far.close());
    joinOnceKnown(near, far, closed);
  }

  private void joinOnceKnown(NetSocket near, NetSocket far, Future<Void> closed) {
    Optional<Supplier<Future<Set<Integer>>>> ports = portsOfCut();
    ports
        .map(Supplier::get)
        .orElse(Future.succeededFuture(Set.of()))
        .otherwise(Set.of())
        .onSuccess(
            current -> {
              if (!closed.isComplete() && !hasJoined(near, far, ports, current)) {
                joinOnceKnown(near, far, closed);
              }
            });
  }

  /** Returns the callers that are cut off; empty if there are none, or if all are. */
  private synchronized Optional<Supplier<Future<Set<Integer>>>> portsOfCut() {
    return cut ? cutPorts : Optional.empty();
  }

  /** Joins two sides, unless the path was cut for other callers or restored meanwhile. */
  private synchronized boolean hasJoined(
      NetSocket near,
      NetSocket far,
      Optional<Supplier<Future<Set<Integer>>>> ports,
      Set<Integer> current) {
    if (!portsOfCut().equals(ports)) {
      return false;
    }
    int port = near.remoteAddress().port();
    boolean isCut = cut && (ports.isEmpty() || current.contains(port));
    directions.add(new Direction(near, far, port, isCut, () -> closedByCallers++));
    directions.add(new Direction(far, near, port, isCut, () -> {}));
    near.resume();
    far.resume();
    return true;
  }

  /** The bytes from one end of a connection to the other. */
  private final class Direction {
    private final NetSocket target;
    private final Runnable onClose;
    private Buffer held = Buffer.buffer();
    private long heldSinceMillis;
    private final int nearPort;
    private boolean isCut;
    private boolean closed;
    private boolean delivering;
    private boolean silent;

    Direction(NetSocket source, NetSocket target, int nearPort, boolean isCut, Runnable onClose) {
      this.target = target;
      this.nearPort = nearPort;
      this.isCut = isCut;
      this.onClose = onClose;
      source.handler(bytes -> afterPath().onSuccess(passed -> received(bytes)));
      source.exceptionHandler(reset -> afterPath().onSuccess(passed -> discard()));
      source.closeHandler(ignored -> afterPath().onSuccess(passed -> ended()));
    }

    private void received(Buffer bytes) {
      synchronized (LinkStandIn.this) {
        if (silent) {
          return;
        }
        if (!isCut && !delivering && held.length() == 0) {
          target.write(bytes);
          return;
        }
        if (held.length() == 0) {
          heldSinceMillis = clock.millis();
        }
        held.appendBuffer(bytes);
      }
    }

    private void discard() {
      synchronized (LinkStandIn.this) {
        held = Buffer.buffer();
      }
    }

    private void ended() {
      synchronized (LinkStandIn.this) {
        closed = true;
        onClose.run();
        if (silent) {
          directions.remove(this);
        } else if (!isCut && !delivering) {
          deliver();
        }
      }
    }

    private void closeNow() {
      held = Buffer.buffer();
      directions.remove(this);
      target.close();
    }

    private void silence() {
      held = Buffer.buffer();
      silent = true;
    }

    private void deliverLater() {
      if (held.length() == 0 || delivering) {
        deliver();
        return;
      }
      long delayMillis = deliveryDelay.applyAsLong(clock.millis() - heldSinceMillis);
      if (delayMillis == 0) {
        deliver();
        return;
      }
      delivering = true;
      vertx.setTimer(delayMillis, fired -> deliverUnlessCut());
    }

    private void deliverUnlessCut() {
      synchronized (LinkStandIn.this) {
        delivering = false;
        if (!isCut && !silent) {
          deliver();
        }
      }
    }

    private void deliver() {
      if (held.length() > 0) {
        target.write(held);
        held = Buffer.buffer();
      }
      if (closed) {
        directions.remove(this);
        target.close();
      }
    }
  }
}
