package org.marjoramsail.daemon.operator;

import java.util.Optional;

/** Tells service managers and balancers how the daemon is. */
public interface Health {

  /** Whether the process works; one that does not should be restarted. */
  boolean isLive();

  /** Why it should get no requests now; empty when it should. */
  Optional<String> notReady();
}
