package org.marjoramsail.daemon.upstream;

import io.netty.channel.ConnectTimeoutException;
import java.net.ConnectException;
import org.marjoramsail.core.failure.MarjoramsailException;
import org.marjoramsail.core.outcome.UpstreamFailure;

/** Failure of a call to an upstream, with the kind of the failure. */
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

  /** Returns the endpoint of the upstream. */
  public UpstreamEndpoint endpoint() {
    return endpoint;
  }

  /** Returns the kind of the failure. */
  public UpstreamFailure failure() {
    return failure;
  }

  /** Returns whether the host refused the connection; false if the connection timed out. */
  static boolean isConnectionRefused(Throwable failure) {
    return failure.getCause() instanceof ConnectException refused
        && !(refused instanceof ConnectTimeoutException);
  }

  /** Returns the failure of a call; any other exception counts as an interrupted call. */
  public static UpstreamFailure failureOf(Throwable cause) {
    return cause instanceof UpstreamCallException call ? call.failure() : UpstreamFailure.CUT;
  }
}
