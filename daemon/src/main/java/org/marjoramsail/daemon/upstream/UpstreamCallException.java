package org.marjoramsail.daemon.upstream;

import io.netty.channel.ConnectTimeoutException;
import java.net.ConnectException;
import org.marjoramsail.core.failure.MarjoramsailException;
import org.marjoramsail.core.outcome.UpstreamFailure;

/** A call to an upstream that failed, with what that proves. */
public final class UpstreamCallException extends MarjoramsailException {

  private static final long serialVersionUID = 1L;

  private final transient UpstreamEndpoint endpoint;
  private final UpstreamFailure failure;

  UpstreamCallException(UpstreamEndpoint endpoint, UpstreamFailure failure, String detail) {
    super("Upstream " + endpoint.name() + ": " + failure + ": " + detail);
    this.endpoint = endpoint;
    this.failure = failure;
  }

  UpstreamCallException(UpstreamEndpoint endpoint, UpstreamFailure failure, Throwable cause) {
    super("Upstream " + endpoint.name() + ": " + failure + ": " + cause.getMessage(), cause);
    this.endpoint = endpoint;
    this.failure = failure;
  }

  /** Where the call went. */
  public UpstreamEndpoint endpoint() {
    return endpoint;
  }

  /** How it failed. */
  public UpstreamFailure failure() {
    return failure;
  }

  /** Whether the host itself refused the connection; a connection that times out is not refused. */
  static boolean isConnectionRefused(Throwable failure) {
    return failure.getCause() instanceof ConnectException refused
        && !(refused instanceof ConnectTimeoutException);
  }

  /** What a failed future proves; a failure of another type proves nothing. */
  public static UpstreamFailure failureOf(Throwable cause) {
    return cause instanceof UpstreamCallException call ? call.failure() : UpstreamFailure.CUT;
  }
}
