package org.marjoramsail.core.placement;

/** Takes cache events as hints for where prefixes are. */
@FunctionalInterface
public interface CacheObserver {

  /** Handles one event; events of unknown upstreams are ignored. */
  void cacheEvent(CacheEvent event);
}
