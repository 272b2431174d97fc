package org.marjoramsail.daemon.peer;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.marjoramsail.core.membership.PeerAddress;
import org.marjoramsail.core.time.Clock;

/**
 * Bounded queue of messages for one address, with the connection that sends them.
 *
 * <p>Messages may be queued on any thread; all else runs on the event loop of {@link PeerNetwork}.
 */
final class PeerLink {

  /** Opens a connection and reports the result by {@link #opened} or {@link #failed}. */
  @FunctionalInterface
  interface Connector {
    void connect(PeerLink link);
  }

  private static final int MAXIMUM_BACKOFF_DOUBLINGS = 16;

  private final PeerAddress address;
  private final Vertx vertx;
  private final Context context;
  private final PeerBounds bounds;
  private final Clock clock;
  private final RandomGenerator random;
  private final PeerMeters meters;
  private final Connector connector;

  private final Object lock = new Object();
  private final Deque<OutboundFrame> urgent = new ArrayDeque<>();
  private final Deque<OutboundFrame> ordinary = new ArrayDeque<>();
  private int queuedBytes;
  private boolean flushPending;

  private Optional<PeerSession> session = Optional.empty();
  private boolean connecting;
  private int failures;
  private long earliestConnectMillis;

  PeerLink(
      PeerAddress address,
      Vertx vertx,
      Context context,
      PeerBounds bounds,
      Clock clock,
      RandomGenerator random,
      PeerMeters meters,
      Connector connector) {
    this.address = address;
    this.vertx = vertx;
    this.context = context;
    this.bounds = bounds;
    this.clock = clock;
    this.random = random;
    this.meters = meters;
    this.connector = connector;
    this.earliestConnectMillis = clock.millis();
  }

  PeerAddress address() {
    return address;
  }

  /** Queues a message, or drops it if the queue is full; urgent messages evict ordinary ones. */
  void queue(OutboundFrame frame) {
    boolean scheduleFlush;
    synchronized (lock) {
      if (frame.type().isUrgent()) {
        evictOrdinary(frame.length());
      }
      if (queuedBytes + frame.length() > bounds.maximumQueuedBytes()) {
        meters.dropped(DropReason.QUEUE_FULL, 1);
        return;
      }
      (frame.type().isUrgent() ? urgent : ordinary).addLast(frame);
      queuedBytes += frame.length();
      scheduleFlush = !flushPending;
      flushPending = true;
    }
    if (scheduleFlush) {
      context.runOnContext(unused -> flush());
    }
  }

  /** Uses an authenticated connection for this link, unless another one is open. */
  void opened(PeerSession openedSession) {
    connecting = false;
    failures = 0;
    if (session.filter(PeerSession::isOpen).isEmpty()) {
      session = Optional.of(openedSession);
    }
    flush();
  }

  /** Handles a failed connection attempt; drops the queued messages, which would become stale. */
  void failed() {
    connecting = false;
    earliestConnectMillis = clock.millis() + backoffMillis();
    failures = Math.min(failures + 1, MAXIMUM_BACKOFF_DOUBLINGS);
    if (session.filter(PeerSession::isOpen).isEmpty()) {
      dropQueued(DropReason.CONNECT_FAILED);
    }
  }

  void closed(PeerSession closedSession) {
    if (session.filter(current -> current == closedSession).isPresent()) {
      session = Optional.empty();
      dropQueued(DropReason.CONNECTION_CLOSED);
    }
  }

  void dropQueued(DropReason reason) {
    int dropped;
    synchronized (lock) {
      dropped = urgent.size() + ordinary.size();
      urgent.clear();
      ordinary.clear();
      queuedBytes = 0;
    }
    meters.dropped(reason, dropped);
  }

  /** Returns whether the link is idle and can be removed; only its failure count is lost. */
  boolean isRemovable() {
    synchronized (lock) {
      return session.isEmpty()
          && !connecting
          && !flushPending
          && queuedBytes == 0
          && clock.millis() >= earliestConnectMillis;
    }
  }

  private void evictOrdinary(int bytes) {
    while (queuedBytes + bytes > bounds.maximumQueuedBytes() && !ordinary.isEmpty()) {
      queuedBytes -= ordinary.removeLast().length();
      meters.dropped(DropReason.QUEUE_FULL, 1);
    }
  }

  private void flush() {
    synchronized (lock) {
      flushPending = false;
    }
    if (session.filter(PeerSession::isOpen).isPresent()) {
      write(session.get());
    } else if (!connecting && hasQueuedFrames()) {
      connect();
    }
  }

  private void connect() {
    connecting = true;
    long waitMillis = earliestConnectMillis - clock.millis();
    if (waitMillis <= 0) {
      connector.connect(this);
    } else {
      vertx.setTimer(waitMillis, id -> connector.connect(this));
    }
  }

  private void write(PeerSession openSession) {
    while (hasQueuedFrames()) {
      if (openSession.isFull()) {
        openSession.onWritable(this::flush);
        return;
      }
      Buffer batch = nextBatch(openSession);
      if (batch.length() > 0) {
        openSession.write(batch);
      }
    }
  }

  private Buffer nextBatch(PeerSession openSession) {
    Buffer batch = Buffer.buffer();
    synchronized (lock) {
      while (batch.length() < bounds.maximumBatchBytes()) {
        OutboundFrame frame = urgent.isEmpty() ? ordinary.pollFirst() : urgent.pollFirst();
        if (frame == null) {
          return batch;
        }
        queuedBytes -= frame.length();
        if (frame.isFor(openSession.other().daemon())) {
          batch.appendBuffer(frame.bytes());
          meters.sent(frame.type(), frame.length());
        } else {
          meters.dropped(DropReason.OTHER_INCARNATION, 1);
        }
      }
    }
    return batch;
  }

  private boolean hasQueuedFrames() {
    synchronized (lock) {
      return !urgent.isEmpty() || !ordinary.isEmpty();
    }
  }

  private long backoffMillis() {
    long ceiling = Math.min(bounds.longestBackoffMillis(), bounds.firstBackoffMillis() << failures);
    return random.nextLong(ceiling / 2, ceiling + 1);
  }
}
