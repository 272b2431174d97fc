package org.marjoramsail.daemon.upstream;

import java.util.Collection;
import org.marjoramsail.core.configuration.UpstreamDefinition;

/** Supplier of the upstreams that this daemon has to watch. */
@FunctionalInterface
public interface WatchedUpstreams {

  /** Returns the upstreams of the shards that this daemon owns, and those that may have crashed. */
  Collection<UpstreamDefinition> watched();
}
