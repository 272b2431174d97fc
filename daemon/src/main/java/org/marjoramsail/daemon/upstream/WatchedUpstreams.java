package org.marjoramsail.daemon.upstream;

import java.util.Collection;
import org.marjoramsail.core.configuration.UpstreamDefinition;

/** Says which upstreams this daemon has to watch at the moment. */
@FunctionalInterface
public interface WatchedUpstreams {

  /** The upstreams of the shards that it decides for, and those that may have crashed. */
  Collection<UpstreamDefinition> watched();
}
