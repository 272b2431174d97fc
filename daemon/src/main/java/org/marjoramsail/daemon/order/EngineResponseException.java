package org.marjoramsail.daemon.order;

import org.marjoramsail.core.failure.MarjoramsailException;
import org.marjoramsail.core.model.UpstreamName;

/** Thrown when the response of an engine violates the protocol. */
public final class EngineResponseException extends MarjoramsailException {

  private static final long serialVersionUID = 1L;

  private final String upstream;

  /** Creates an exception with the engine and a description of the error in its response. */
  public EngineResponseException(UpstreamName upstream, String detail, Throwable cause) {
    super(upstream + ": " + detail, cause);
    this.upstream = upstream.value();
  }

  /** Returns the engine that sent the response. */
  public UpstreamName upstream() {
    return new UpstreamName(upstream);
  }
}
