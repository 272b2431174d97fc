package org.marjoramsail.daemon.forward;

import io.vertx.core.http.HttpClientConnection;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.net.impl.ConnectionBase;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;
import org.marjoramsail.daemon.connection.ConnectionProbe;
import org.marjoramsail.daemon.connection.ConnectionWatch;
import org.marjoramsail.daemon.connection.ForcedClose;
import org.marjoramsail.daemon.connection.MalformedHeadException;

/** A connection that leads to an upstream, and what it has carried. Runs on one event loop. */
final class UpstreamConnection {

  /** Receives why a connection is closed, at most once. */
  interface Closes {
    /** Handles something that no request waits for. */
    void unrequested(UpstreamConnection connection);

    /** Handles a response whose head breaks the grammar. */
    void malformed(UpstreamConnection connection, MalformedHeadException cause);
  }

  /**
   * Maximum number of requests whose identifiers are kept. Between two requests with the same
   * identifier each other one has proven that its connection is in step.
   */
  private static final int MAXIMUM_IDENTIFIERS = 128;

  private final long serial;
  private final HttpClientConnection connection;
  private final Optional<Relay> relay;
  private final HttpConnection within;
  private final ConnectionWatch watch;
  private final Set<String> attempts = new LinkedHashSet<>();
  private long requests;
  private String lastAttempt = "";

  /**
   * Creates an instance.
   *
   * @param serial identifies the connection in logs of this daemon
   * @param connection a connection that carried nothing so far
   * @param relay the daemon to which it leads; empty if it leads to the upstream itself
   * @param closes receives why this connection is closed
   */
  UpstreamConnection(
      long serial, HttpClientConnection connection, Optional<Relay> relay, Closes closes) {
    this.serial = serial;
    this.connection = connection;
    this.relay = relay;
    // The connection is a wrapper, of which the method returns the connection within.
    this.within = connection.exceptionHandler(ignored -> {});
    this.watch =
        ConnectionWatch.of(
            (ConnectionBase) within,
            new ConnectionWatch.Listener() {
              @Override
              public void unrequested() {
                closes.unrequested(UpstreamConnection.this);
              }

              @Override
              public void malformed(MalformedHeadException cause) {
                closes.malformed(UpstreamConnection.this, cause);
              }
            });
  }

  HttpClientConnection connection() {
    return connection;
  }

  Optional<Relay> relay() {
    return relay;
  }

  boolean isDirect() {
    return relay.isEmpty();
  }

  long serial() {
    return serial;
  }

  /** Returns the local port, which identifies the connection in a packet capture. */
  int localPort() {
    return connection.localAddress().port();
  }

  /** Returns the number of requests that were written to it. */
  long requests() {
    return requests;
  }

  /** Returns the identifier of the latest request; empty if that bears none. */
  String lastAttempt() {
    return lastAttempt;
  }

  /** Records that a request is written. */
  void begin(String attempt) {
    requests++;
    lastAttempt = attempt;
    attempts.add(attempt);
    if (attempts.size() > MAXIMUM_IDENTIFIERS) {
      Iterator<String> oldest = attempts.iterator();
      oldest.next();
      oldest.remove();
    }
    watch.expectDelivery();
  }

  /** Returns whether it carried a request with an identifier. */
  boolean hasCarried(String attempt) {
    return attempts.contains(attempt);
  }

  /** Returns whether the latest request was written whole. */
  boolean isRequestWritten() {
    return watch.isWritten();
  }

  /** Records that the response to the latest request was read to its end. */
  void delivered() {
    watch.delivered();
  }

  /**
   * Returns the first bytes that were received behind the latest response, a character each; empty
   * if there were none.
   */
  String following() {
    return watch.following();
  }

  /** Returns whether everything that was received belongs to responses that were due. */
  boolean isInStep() {
    return watch.isInStep();
  }

  /** Reads what has arrived, and returns whether it is open and in step after that. */
  boolean isUsable() {
    return ConnectionProbe.isOpen(within) && watch.isInStep();
  }

  /** Closes it at once; what is not written yet is never sent. */
  void close() {
    watch.delivered();
    ForcedClose.close(within);
  }
}
