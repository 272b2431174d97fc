package org.marjoramsail.daemon.upstream;

import io.vertx.core.http.HttpClientRequest;
import org.marjoramsail.daemon.request.OpenCall;

/** One call under way; closing it closes its connection, after which nothing more is heard. */
public final class UpstreamCall implements OpenCall {

  private boolean finished;
  private boolean closed;
  private HttpClientRequest request;

  UpstreamCall() {}

  /** Handles the HTTP request once there is a connection; false when the call was closed before. */
  synchronized boolean attach(HttpClientRequest connected) {
    request = connected;
    if (closed) {
      connected.reset();
    }
    return !closed;
  }

  /** Whether its end was heard, or it was closed. */
  synchronized boolean isFinished() {
    return finished;
  }

  /** Marks the end; true for the first who does. */
  synchronized boolean finish() {
    boolean first = !finished;
    finished = true;
    return first;
  }

  /** Ends the call from this side; its connection is not used again. */
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
