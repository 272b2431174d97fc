package org.marjoramsail.daemon.upstream;

import io.vertx.core.http.HttpClientRequest;
import org.marjoramsail.daemon.request.OpenCall;

/** A call in flight; closing it closes its connection, and no callback follows. */
public final class UpstreamCall implements OpenCall {

  private boolean finished;
  private boolean closed;
  private HttpClientRequest request;

  UpstreamCall() {}

  /** Attaches the HTTP request of a new connection; returns false if the call is already closed. */
  synchronized boolean attach(HttpClientRequest connected) {
    request = connected;
    if (closed) {
      connected.reset();
    }
    return !closed;
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
