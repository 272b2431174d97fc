package org.marjoramsail.daemon.forward;

import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import org.marjoramsail.daemon.connection.ForcedClose;

/**
 * Writes the events of a stream to its caller.
 *
 * <p>Guards against a caller that reads nothing, whose stream would fill the memory: its connection
 * is closed once too much waits for it. Runs on one event loop.
 */
final class StreamOutput {

  /** Maximum size of the events that wait for a caller, in bytes: more than a stream has. */
  static final int MAXIMUM_QUEUED_BYTES = 4 << 20;

  private final HttpServerRequest caller;
  private long queuedBytes;

  StreamOutput(HttpServerRequest caller) {
    this.caller = caller;
  }

  /** Writes bytes after those before; has no effect once the connection is closed. */
  void write(Buffer bytes) {
    queuedBytes += bytes.length();
    Future<Void> unused =
        caller.response().write(bytes).onComplete(written -> queuedBytes -= bytes.length());
    if (queuedBytes > MAXIMUM_QUEUED_BYTES) {
      ForcedClose.close(caller.connection());
    }
  }
}
