package org.marjoramsail.daemon.order;

import org.marjoramsail.core.failure.MarjoramsailException;
import org.marjoramsail.core.model.UpstreamName;

/** An engine that answered with something other than the protocol allows. */
public final class EngineResponseException extends MarjoramsailException {

  private static final long serialVersionUID = 1L;

  private final String upstream;

  /** Creates an instance with the engine and what was wrong with its answer. */
  public EngineResponseException(UpstreamName upstream, String detail, Throwable cause) {
    super(upstream + ": " + detail, cause);
    this.upstream = upstream.value();
  }

  /** The engine that answered. */
  public UpstreamName upstream() {
    return new UpstreamName(upstream);
  }
}
