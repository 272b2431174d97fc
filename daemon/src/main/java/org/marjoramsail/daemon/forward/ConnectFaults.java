package org.marjoramsail.daemon.forward;

import org.marjoramsail.core.configuration.UpstreamDefinition;

/** Faults of the network paths to upstreams, for tests. */
@FunctionalInterface
public interface ConnectFaults {

  /** No faults. */
  ConnectFaults NONE = target -> Fault.NONE;

  /** What happens to a connection that is opened. */
  enum Fault {
    /** It is opened. */
    NONE,
    /** It is not answered. */
    TIMEOUT,
    /** It is refused. */
    REFUSED
  }

  /** Returns what happens to a connection to an upstream that is opened now. */
  Fault faultOf(UpstreamDefinition target);
}
