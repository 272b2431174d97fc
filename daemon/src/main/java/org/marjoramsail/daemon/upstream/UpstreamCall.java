package org.marjoramsail.daemon.upstream;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.http.HttpClientRequest;
import org.marjoramsail.core.outcome.UpstreamFailure;
import org.marjoramsail.daemon.request.CallerPresence;
import org.marjoramsail.daemon.request.OpenCall;

/** A call in flight; closing it closes its connection, and no callback follows. */
public final class UpstreamCall implements OpenCall {

  private boolean finished;
  private boolean closed;
  private boolean sent;
  private final CallerPresence caller;
  private HttpClientRequest request;

  /**
   * Creates a call that is not connected.
   *
   * @param caller the caller of the request
   */
  UpstreamCall(CallerPresence caller) {
    this.caller = caller;
  }

  /**
   * Attaches the HTTP request of a new connection.
   *
   * @return the request if it is to be sent; never completes if the call is already closed, and
   *     fails if the caller has left
   */
  Future<HttpClientRequest> attach(UpstreamEndpoint endpoint, HttpClientRequest connected) {
    synchronized (this) {
      request = connected;
      if (closed) {
        connected.reset();
        return Promise.<HttpClientRequest>promise().future();
      }
    }
    if (caller.isPresent()) {
      markSent();
      return Future.succeededFuture(connected);
    }
    connected.reset();
    return Future.failedFuture(
        new UpstreamCallException(endpoint, UpstreamFailure.CALLER_LEFT, "nothing was sent"));
  }

  private synchronized void markSent() {
    sent = true;
  }

  @Override
  public synchronized boolean isUnsent() {
    return !sent;
  }

  /** Returns whether the call has ended or was closed. */
  synchronized boolean isFinished() {
    return finished;
  }

  /** Marks the call as ended; returns true for the first caller only. */
  synchronized boolean finish() {
    boolean first = !finished;
    finished = true;
    return first;
  }

  /** Aborts the call; its connection is not reused. */
  @Override
  public void close() {
    HttpClientRequest open;
    synchronized (this) {
      finished = true;
      closed = true;
      open = request;
    }
    if (open != null) {
      open.reset();
    }
  }
}
