package org.marjoramsail.core.placement;

/** Receives cache events as hints of where prefixes are cached. */
@FunctionalInterface
public interface CacheObserver {

  /** Handles one event; events of unknown upstreams are ignored. */
  void cacheEvent(CacheEvent event);
}
