package org.marjoramsail.daemon.peer;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetSocket;
import io.vertx.core.parsetools.RecordParser;
import java.util.Optional;
import org.marjoramsail.core.message.PeerMessage;

/**
 * One TCP connection to another daemon, with its handshake and framing.
 *
 * <p>All methods run on the one event loop of the {@link PeerNetwork}.
 */
final class PeerSession {

  private static final int LENGTH_BYTES = Integer.BYTES;

  /** Receives the events of a session. */
  interface Listener {

    /** Returns the reason to refuse an authenticated daemon, if there is one. */
    Optional<CloseReason> refusal(Hello other);

    /** Called when the handshake has completed; messages may be written from now on. */
    void opened(PeerSession session);

    /** Called for each message after the handshake. */
    void received(PeerSession session, PeerMessage message);

    /** Called once when the connection has closed, also if the handshake had not completed. */
    void closed(PeerSession session);
  }

  private final Vertx vertx;
  private final NetSocket socket;
  private final Handshake.Role role;
  private final Handshake handshake;
  private final Hello own;
  private final PeerCodec codec;
  private final PeerBounds bounds;
  private final PeerMeters meters;
  private final Listener listener;
  private final RecordParser parser;
  private final long handshakeTimer;

  private Optional<Hello> other = Optional.empty();
  private boolean expectsLength = true;
  private boolean open;
  private boolean closed;

  PeerSession(
      Vertx vertx,
      NetSocket socket,
      Handshake.Role role,
      Handshake handshake,
      Hello own,
      PeerCodec codec,
      PeerBounds bounds,
      PeerMeters meters,
      Listener listener) {
    this.vertx = vertx;
    this.socket = socket;
    this.role = role;
    this.handshake = handshake;
    this.own = own;
    this.codec = codec;
    this.bounds = bounds;
    this.meters = meters;
    this.listener = listener;
    this.parser = RecordParser.newFixed(LENGTH_BYTES, this::record);
    this.handshakeTimer =
        vertx.setTimer(bounds.handshakeTimeoutMillis(), id -> handleHandshakeTimeout());
  }

  void start() {
    socket.closeHandler(unused -> handleClose());
    socket.exceptionHandler(cause -> socket.close());
    socket.handler(parser);
    if (role == Handshake.Role.CONNECTING) {
      write(own);
    }
  }

  /** Returns the hello frame of the other side; present once the session is open. */
  Hello other() {
    return other.orElseThrow();
  }

  boolean isOpen() {
    return open && !closed;
  }

  boolean isFull() {
    return socket.writeQueueFull();
  }

  void onWritable(Runnable action) {
    socket.drainHandler(unused -> action.run());
  }

  void write(Buffer frames) {
    socket.write(frames);
  }

  /** Sends a close frame with the reason, and closes the connection. */
  void refuse(CloseReason reason) {
    if (closed) {
      return;
    }
    meters.refusalSent(reason);
    write(new CloseFrame(reason));
    socket.close();
    handleClose();
  }

  private void write(PeerMessage message) {
    try {
      PeerMessageType type = PeerMessageType.ofClass(message.getClass());
      OutboundFrame frame = OutboundFrame.of(type, Optional.empty(), codec.encode(message));
      meters.sent(type, frame.length());
      socket.write(frame.bytes());
    } catch (PeerCodecException e) {
      socket.close();
    }
  }

  private void record(Buffer record) {
    if (closed) {
      return;
    }
    if (expectsLength) {
      expectBody(record.getInt(0));
      return;
    }
    expectsLength = true;
    parser.fixedSizeMode(LENGTH_BYTES);
    handleBody(record.getBytes());
  }

  private void expectBody(int length) {
    if (length <= 0 || length > bounds.maximumFrameBytes()) {
      refuse(CloseReason.MALFORMED_FRAME);
      return;
    }
    expectsLength = false;
    parser.fixedSizeMode(length);
  }

  private void handleBody(byte[] body) {
    try {
      PeerMessage message = codec.decode(body);
      meters.received(PeerMessageType.ofClass(message.getClass()), LENGTH_BYTES + body.length);
      dispatch(message);
    } catch (PeerCodecException e) {
      refuse(CloseReason.MALFORMED_FRAME);
    }
  }

  private void dispatch(PeerMessage message) {
    if (message instanceof CloseFrame closeFrame) {
      meters.refusalReceived(closeFrame.reason());
      socket.close();
    } else if (message instanceof Hello hello) {
      handleHello(hello);
    } else if (message instanceof HelloProof proof) {
      handleProof(proof);
    } else if (open) {
      listener.received(this, message);
    } else {
      refuse(CloseReason.UNEXPECTED_MESSAGE);
    }
  }

  private void handleHello(Hello hello) {
    if (other.isPresent()) {
      refuse(CloseReason.UNEXPECTED_MESSAGE);
      return;
    }
    Optional<CloseReason> refusal = handshake.refusal(hello);
    if (refusal.isPresent()) {
      refuse(refusal.get());
      return;
    }
    other = Optional.of(hello);
    if (role == Handshake.Role.ACCEPTING) {
      write(own.withProof(handshake.proof(role, hello, own)));
      return;
    }
    boolean isProven =
        hello
            .proof()
            .filter(proof -> handshake.isProven(proof, Handshake.Role.ACCEPTING, own, hello))
            .isPresent();
    if (!isProven) {
      refuse(CloseReason.WRONG_PROOF);
      return;
    }
    write(new HelloProof(handshake.proof(role, own, hello)));
    open();
  }

  private void handleProof(HelloProof proof) {
    if (role == Handshake.Role.CONNECTING || other.isEmpty() || open) {
      refuse(CloseReason.UNEXPECTED_MESSAGE);
      return;
    }
    if (!handshake.isProven(proof.proof(), Handshake.Role.CONNECTING, other.get(), own)) {
      refuse(CloseReason.WRONG_PROOF);
      return;
    }
    open();
  }

  private void open() {
    Optional<CloseReason> refusal = listener.refusal(other());
    if (refusal.isPresent()) {
      refuse(refusal.get());
      return;
    }
    vertx.cancelTimer(handshakeTimer);
    open = true;
    listener.opened(this);
  }

  private void handleHandshakeTimeout() {
    if (!open) {
      refuse(CloseReason.HANDSHAKE_TIMEOUT);
    }
  }

  private void handleClose() {
    if (closed) {
      return;
    }
    closed = true;
    vertx.cancelTimer(handshakeTimer);
    listener.closed(this);
  }
}
